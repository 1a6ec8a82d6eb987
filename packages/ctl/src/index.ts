/** Placeholder until the package's first slice lands. */
export {}
