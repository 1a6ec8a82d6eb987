/** How long a read may wait at the store for new records; the store allows 30 s. */
export const LONG_POLL_MS = 25_000

/** Time beyond the wait at the store after which a read counts as lost. The store answers in 4 ms, in 0.3 s at its slowest. */
export const READ_GRACE_MS = 1_500

/** Time limit of a question for the end of a feed. It is asked once more, on another connection. */
export const CHECK_TIMEOUT_MS = 500

/** Time within which a read that waits brings what the process itself has appended: the store answers in 0.3 s at its slowest. */
export const APPENDED_GRACE_MS = 400

/** First delay after a failed read; it doubles up to `MAX_RETRY_MS`. */
export const INITIAL_RETRY_MS = 200

/** Longest delay after a failed read. The end of an outage is noticed within about a second, on average after half of that. */
export const MAX_RETRY_MS = 1_000

/** Servers whose list entries expired during an outage are listed again within about 2 s; one missing for longer is gone. */
export const RELIST_GRACE_MS = 2_500
