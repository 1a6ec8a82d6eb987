/** Servers are one to three ms away and accept a connection within 1 ms; an instance without power never answers. */
export const CONNECT_TIMEOUT_MS = 600

/**
 * Idle time after which a connection is not reused. Servers close idle connections after a timeout of their own, and a request that
 * crosses the close may be lost; the longer the connection was idle, the more likely this is.
 */
export const IDLE_TIMEOUT_MS = 4_000

/** A connection is closed this much before the idle timeout that its server announces. */
export const IDLE_MARGIN_MS = 500

/** Minimum idle time of a connection if a server announces a very short timeout. */
export const MIN_IDLE_MS = 100

/** Most requests on one connection, all of whose ids are remembered. */
export const MAX_REQUESTS_PER_CONNECTION = 256

/** Most header lines of an answer: Node's parser, which callers use too, keeps no more. */
export const MAX_HEADER_LINES = 1_000

/** Largest answer that is buffered before the caller gets it; a larger one counts as a fault of the server. */
export const MAX_ANSWER_BYTES = 8 * 1024 * 1024
