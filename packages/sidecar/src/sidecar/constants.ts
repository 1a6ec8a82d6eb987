/**
 * Time between two loads from the weight store that one agent begins. The platform counts loads over windows of 5 s
 * and allows more of them than a deployment has engines, so one for each agent in a window stays under the ceiling
 * with nothing to agree on. The tenth of a second covers timers that fire early.
 */
export const COLD_SPACING_MS = 5_100

/** Time between two questions for the engine's id: each takes a slot for a moment and is paid for. */
export const ASK_PERIOD_MS = 500

/** The question waits for a slot like a request. */
export const ASK_TIMEOUT_MS = 1_000

/** Earlier starts that routers are told of: an entry lapses within four seconds, a start takes one or more. */
export const GONE_COUNT = 4
