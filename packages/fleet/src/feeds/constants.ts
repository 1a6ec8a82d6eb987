/** How long a read may wait at the store for something new; the store allows 30 s. */
export const LONG_POLL_MS = 25_000

/** A read that is not answered this long after it should be counts as lost: the store answers in 4 ms, at its slowest in 0.3 s. */
export const READ_GRACE_MS = 1_500

/** First pause after a failed read; it doubles up to `LAST_RETRY_MS`. */
export const FIRST_RETRY_MS = 200

/** Longest pause after failed reads: an outage's end is noticed within half of the second that it may take. */
export const LAST_RETRY_MS = 1_000

/** After an outage, servers that lapsed meanwhile are listed again within about 2 s; one that is missing longer is gone. */
export const REAPPEAR_MS = 2_500
