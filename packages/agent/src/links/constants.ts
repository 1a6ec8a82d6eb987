/** Time that a peer may be ahead before its records are asked for; the log itself mostly is faster. */
export const BEHIND_MS = 500

/** Records passed to a peer in one message: at some 500 bytes each well below the largest message. */
export const RECORDS_PER_MESSAGE = 500

/** An event names a message that could not be handled by so much of its error. */
export const MAX_REASON_LENGTH = 200
