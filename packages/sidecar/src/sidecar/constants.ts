/**
 * Least time between the starts of two loads from the weight store by one agent. The platform counts loads over windows of
 * 5 s and allows more of them than a deployment has engines, so one load for each agent and window stays under the limit
 * without coordination. The extra tenth of a second covers timers that fire early.
 */
export const COLD_SPACING_MS = 5_100

/** Least time between two queries of the engine's id: each takes a slot of the engine for a moment and is charged. */
export const ID_QUERY_PERIOD_MS = 500

/** Timeout of an id query, which waits for a free slot like a request. */
export const ID_QUERY_TIMEOUT_MS = 1_000

/** Maximum number of earlier starts reported to routers: a list entry expires within four seconds, and a start takes one or more. */
export const MAX_GONE_STARTS = 4
