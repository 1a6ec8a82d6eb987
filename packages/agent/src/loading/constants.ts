/**
 * How long after an order's deadline an inventory without its effect proves that the order never started. The deadline
 * counts from the engine's receipt; this time covers the transfer over a slow connection.
 */
export const ORDER_SETTLE_MS = 2_000

/** Period at which the inventory is read while an order is unanswered. */
export const ORDER_POLL_MS = 1_000

/** First and longest backoff after a failed load of one model. */
export const LOAD_RETRY_MS = 1_000
export const LOAD_RETRY_MAX_MS = 30_000

/** Weight of a new measurement in smoothed times. */
export const SMOOTHING = 0.3

/** Assumed duration of a load before the first measurement, by location of the checkpoint. */
export const ASSUMED_LOAD_MS = { memory: 1_000, disk: 4_000, remote: 15_000 } as const

/** Minimum time between two loads that one agent requests from a store that refused one; at most ten a second. */
export const STORE_SPACING_MS = 100

/**
 * Minimum time that a model stays loaded before its first use. Callers that were refused during the load retry within
 * the spread of their retry-after times, a few seconds unless another resource is short.
 */
export const UNUSED_KEEP_MS = 10_000

/** Load duration that the backoff assumes before the first measurement; short, so that the first load is soon. */
export const UNMEASURED_LOAD_MS = 1_000
