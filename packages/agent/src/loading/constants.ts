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

/** Least time between two asks of one agent at a store that turned one away; ten a second at most. */
export const STORE_SPACING_MS = 100

/**
 * A model that was loaded and not used yet stays this long. Grounds: callers that were refused while it
 * loaded come back within the spread of their come-back times, a few seconds when nothing else is short.
 */
export const UNUSED_KEEP_MS = 10_000

/** Length of a load that the pace of asking goes by before any was measured: short, so that the first is soon. */
export const UNMEASURED_LOAD_MS = 1_000
