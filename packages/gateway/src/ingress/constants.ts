/** Largest headers that Node reads at all; a deployment's own limit is smaller and is answered with a reason. */
export const MAX_HEADER_BYTES = 64 * 1024

/** Requests of one connection that may run at once. An answer can end its connection, and with it each later one: hence one. */
export const MAX_RUNNING_PER_CONNECTION = 1
