/**
 * Silence after which a stream counts as dead. Routers send a frame at least once a second,
 * so three are missing by then.
 */
export const FRAME_SILENCE_MS = 3_000

/** First pause after a loss that came without a time to come back; doubled up to MAX_LOSS_PAUSE_MS. */
export const FIRST_LOSS_PAUSE_MS = 50
export const MAX_LOSS_PAUSE_MS = 2_000
