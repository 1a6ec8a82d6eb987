/** Version reported by every binary. */
export const VERSION = '0.1.0'
