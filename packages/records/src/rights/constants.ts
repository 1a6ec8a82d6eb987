/**
 * How long an agent may act on its last read of the log, by its own monotonic clock, counted from the
 * moment the confirming read was sent. It is several times the long-poll period, so that one lost
 * read has no effect.
 */
export const AUTHORITY_MS = 5_000

/** Deadline of every order to an engine, relative to the time it is sent. */
export const ORDER_DEADLINE_MS = 3_000

/**
 * Log time that must pass between the void of an instance's rights and a new grant: the holder's
 * authority, the deadline of an order sent at its end, and a second for the log's clock.
 */
export const VOID_GRANT_DELAY_MS = AUTHORITY_MS + ORDER_DEADLINE_MS + 1_000

/** Maximum deviation of a caller's or a router's clock from the log's clock. */
export const MAX_CLOCK_ERROR_MS = 2_000

/** Maximum age of the key of a request that may not be repeated; older keys are refused. */
export const MAX_KEY_AGE_MS = 600_000

/**
 * Maximum lead of a permitted key's timestamp over the log's clock at the time of the permit.
 * A key is accepted up to MAX_CLOCK_ERROR_MS ahead of the holder's clock, which may itself be ahead by
 * as much. The extra millisecond is needed because a key stamped exactly at either bound is accepted.
 */
export const MAX_KEY_LEAD_MS = 2 * MAX_CLOCK_ERROR_MS + 1

/**
 * How long a holder remembers a key that it permitted, counted from the key's issue, by the clock with
 * which the holder checks key ages, or from the permit, whichever is later. Without the margin, a key
 * from up to MAX_CLOCK_ERROR_MS ahead would be forgotten while it is still within the window, and
 * a resend would be permitted a second time.
 */
export const KEY_RETENTION_MS = MAX_KEY_AGE_MS + 2 * MAX_CLOCK_ERROR_MS
