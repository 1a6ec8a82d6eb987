/** Longest time for a body whose request names no deadline. */
export const MAX_BODY_MS = 60_000

/** Largest headers that Node reads at all; a deployment's own limit is smaller and is answered with a reason. */
export const MAX_HEADER_BYTES = 64 * 1024
