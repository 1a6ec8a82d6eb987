/** Largest headers that are read at all; a deployment's own limit is smaller and answered with a reason. */
export const MAX_HEADER_BYTES = 64 * 1024
