/**
 * How long after an order's deadline the inventory is trusted to show that it never started. Grounds: the
 * deadline counts from the engine's receipt; this covers the way there over a slow connection.
 */
export const ORDER_SETTLE_MS = 2_000

/** Period at which the inventory is asked about an order whose answer is missing. */
export const ORDER_POLL_MS = 1_000

/** First and longest pause after a failed load of one model. */
export const LOAD_RETRY_MS = 1_000
export const LOAD_RETRY_MAX_MS = 30_000

/** Weight of a new measurement in smoothed times. */
export const SMOOTHING = 0.3

/** Assumed time of a load that was never measured, by where the checkpoint is. */
export const ASSUMED_LOAD_MS = { memory: 1_000, disk: 4_000, remote: 15_000 } as const
