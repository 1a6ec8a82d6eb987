/** A stream without frames for this long is treated as lost. Routers send a frame at least once a second, so three are missing. */
export const FRAME_TIMEOUT_MS = 3_000

/** First wait after a loss without a retry time; doubled after each further loss up to MAX_BACKOFF_MS. */
export const INITIAL_BACKOFF_MS = 50
export const MAX_BACKOFF_MS = 2_000
