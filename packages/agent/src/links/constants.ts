/** Time that a peer may be ahead before its records are asked for; the log itself mostly is faster. */
export const BEHIND_MS = 500

/**
 * A start that the agreed state as read so far would refuse waits this long for records that its router has read. Grounds: a
 * read of the log comes 50 ms after the one before and a peer's records in one round trip; a caller that is refused comes
 * back after a second.
 */
export const HOLD_MS = 1_000

/** Records passed to a peer in one message: at some 500 bytes each well below the largest message. */
export const RECORDS_PER_MESSAGE = 500

/** An event names a message that could not be handled by so much of its error. */
export const MAX_REASON_LENGTH = 200
