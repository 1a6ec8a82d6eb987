/** Servers are one to three ms away and take 1 ms for a new connection; an instance without power never answers. */
export const CONNECT_TIMEOUT_MS = 600

/**
 * An idle connection is not used again after this time. Servers close idle ones after a time of their own, and a
 * request that crosses the close may be lost; the longer it was idle the likelier.
 */
export const IDLE_TIMEOUT_MS = 4_000

/** A connection is given up this much before the time after which its server says it closes it. */
export const IDLE_MARGIN_MS = 500

/** Least time that a connection is kept, when a server names a very short one. */
export const MIN_IDLE_MS = 100

/** Largest answer that is read whole before the caller gets it; a larger one is refused as faulty. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024
