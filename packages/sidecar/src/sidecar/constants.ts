/**
 * Time between two loads from the weight store that one agent begins. The platform counts loads over windows of 5 s
 * and allows more of them than a deployment has engines, so one for each agent in a window stays under the ceiling
 * with nothing to agree on. The tenth of a second covers timers that fire early.
 */
export const COLD_SPACING_MS = 5_100
