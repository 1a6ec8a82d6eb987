/**
 * How long an agent may act on what it last read from the log, on its own monotonic
 * clock, counted from the moment the confirming read was sent. Grounds: several times
 * the long-poll period, so that one lost read does no harm.
 */
export const AUTHORITY_MS = 5_000

/** Deadline that every order to an engine carries, relative to its sending. */
export const ORDER_DEADLINE_MS = 3_000

/**
 * Log time that must pass between the void of an instance's rights and a new grant.
 * Grounds: authority, one order in flight at its end, and a second for the log's clock.
 */
export const VOID_WAIT_MS = AUTHORITY_MS + ORDER_DEADLINE_MS + 1_000

/** How far a caller's or a router's clock may be off the log's clock. */
export const CLOCK_ERROR_MS = 2_000

/** Age above which a key of a request that may not be repeated is refused. */
export const ONCE_WINDOW_MS = 600_000

/**
 * A key that a holder lets run may be stamped up to this much later than the moment, by the log's clock.
 * Grounds: it is taken up to CLOCK_ERROR_MS ahead of the holder's clock, which may itself be ahead by
 * as much; and a millisecond, because a key stamped at either bound is still taken.
 */
export const KEY_AHEAD_MS = 2 * CLOCK_ERROR_MS + 1

/**
 * How long a holder remembers a key that it let run, counted from the key's issue on the clock
 * by which the holder refuses old keys, or from the permit, whichever is later.
 * Grounds: a key from up to CLOCK_ERROR_MS ahead would otherwise be forgotten while it is still
 * inside the window, and a resend be let run a second time.
 */
export const KEY_MEMORY_MS = ONCE_WINDOW_MS + 2 * CLOCK_ERROR_MS
