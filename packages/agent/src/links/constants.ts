/** How long a peer's log offset may be ahead before its records are requested; the log itself usually is faster. */
export const LAG_TOLERANCE_MS = 500

/**
 * How long a start that the agreed state as read so far would refuse waits for records that its router has read. The log is
 * read every 50 ms and a peer's records take one round trip; a refused caller would retry only after a second.
 */
export const START_HOLD_MS = 1_000

/** Records sent to a peer in one message: at about 500 bytes each, well below the maximum message size. */
export const RECORDS_PER_MESSAGE = 500

/** Maximum length of the error text in the event about a message that could not be handled. */
export const MAX_REASON_LENGTH = 200
