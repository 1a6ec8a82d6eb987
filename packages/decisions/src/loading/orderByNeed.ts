import type { OrderLoads, WaitingLoad } from './types.js'

/** A load counts double after this time, three times after twice the time: a tenth of the minutes that a cold start may take. */
const AGING_MS = 10_000
/** Each priority step counts this much more; two steps outweigh twice the callers. */
const PRIORITY_STEP = 1.5

/** Waiting callers that a load would serve, weighted by priority and age. */
const need = (load: WaitingLoad, nowMs: number): number => {
  const age = 1 + Math.max(0, nowMs - load.askedAtMs) / AGING_MS
  return Math.max(1, load.waitingCount) * PRIORITY_STEP ** load.highestPriority * age
}

/**
 * Loads first what serves most waiting callers for its size, weighted by priority and age.
 *
 * Load pattern: many models wake up at once (a shift begins, a backend server was replaced), and the weight store
 * serves a few loads at a time. Without it a model that one caller wants is loaded before one that fifty wait for.
 * Loads whose last deadline has passed go to the end: nobody who asked can be served by them any more.
 */
export const orderByNeed: OrderLoads = (loads, nowMs) => {
  const scored = loads.map(load => ({
    load,
    isLate: load.earliestDeadlineMs <= nowMs && load.waitingCount <= 1,
    // Size in steps of a second at the store's rate would need its speed; the ratio alone orders them.
    score: need(load, nowMs) / Math.max(1, load.checkpointMb)
  }))
  scored.sort((a, b) => Number(a.isLate) - Number(b.isLate) || b.score - a.score || a.load.askedAtMs - b.load.askedAtMs)
  return scored.map(one => one.load)
}
