import type { OrderLoads, WaitingLoad } from './types.js'

/** A load's weight doubles after this time and triples after twice this time. A cold start may take minutes, ten times as long. */
const AGING_MS = 10_000
/** Factor per priority step; two steps outweigh twice the callers. */
const PRIORITY_STEP = 1.5

/** Callers that wait for a load, weighted by priority and age. */
const needOf = (load: WaitingLoad, nowMs: number): number => {
  const age = 1 + Math.max(0, nowMs - load.askedAtMs) / AGING_MS
  return Math.max(1, load.waitingCount) * PRIORITY_STEP ** load.highestPriority * age
}

/**
 * Starts with the load that serves the most waiting callers for its size, weighted by priority and age.
 *
 * Load pattern: many models are requested at once (a shift begins, a backend server was replaced), and the weight store
 * serves a few loads at a time. In order of arrival, a model for one caller may be loaded before one that fifty wait for.
 * Loads whose last deadline has passed are sorted to the end, because they can no longer serve any caller.
 */
export const orderByNeed: OrderLoads = (loads, nowMs) => {
  const scored = loads.map(load => ({
    load,
    isLate: load.earliestDeadlineMs <= nowMs && load.waitingCount <= 1,
    // The load time would need the store's speed; the size alone yields the same order.
    score: needOf(load, nowMs) / Math.max(1, load.checkpointMb)
  }))
  scored.sort((a, b) => Number(a.isLate) - Number(b.isLate) || b.score - a.score || a.load.askedAtMs - b.load.askedAtMs)
  return scored.map(one => one.load)
}
