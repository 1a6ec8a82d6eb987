/** Pause between looks at engines whose instances are off the list. */
export const LOOK_MS = 2_000

/** Time for one call to such an engine. */
export const CALL_MS = 2_000

/**
 * An instance whose address this router never read counts as unreachable after this long off the
 * list: four times what a void needs, so that a router that knows the address comes first.
 */
export const UNKNOWN_ADDRESS_MS = 120_000
