import type { ChooseRetryAfter } from './types.js'

const MS_PER_SECOND = 1000
/** Under a fifth of a second a caller's round trip and its own timers make up most of the wait. */
const FLOOR_MS = 200
/** A caller that is told more than a minute may as well ask another day; the operator's deadlines are of that size. */
const CEILING_MS = 60_000
/** Spread when the rate of service is unknown, and the least spread in any case: twice the floor. */
const LEAST_SPREAD_MS = 400
/** Resends after which the spread stops doubling: 2^5 of the least spread is about 13 s. */
const MAX_DOUBLINGS = 5
/** Part of the served rate that may be promised to those that come back; the rest is for new requests. */
const PROMISED_SHARE = 0.8

const drainMs = (refusedCount: number, servedPerSecond: number): number =>
  servedPerSecond <= 0 ? 0 : refusedCount / (servedPerSecond * PROMISED_SHARE) * MS_PER_SECOND

/**
 * Tells a refused caller to come back after the expected wait, at a random moment of the time that it takes to serve
 * all that were refused with it.
 *
 * Load pattern: an outage or a burst leaves thousands of callers that never give up. Without it they come back in
 * step, are refused in step, and the herd repeats although the capacity would have sufficed for all of them one after
 * the other. Doubling with each resend bounds the load even when the drain time is estimated too short.
 */
export const spreadByDrainTime: ChooseRetryAfter = (view, random) => {
  const doublings = Math.min(view.resendCount, MAX_DOUBLINGS)
  const spreadMs = Math.max(LEAST_SPREAD_MS * 2 ** doublings, drainMs(view.recentRefusals, view.servedPerSecond))
  const earliestMs = Math.max(FLOOR_MS, view.estimatedWaitMs)
  return Math.round(Math.min(CEILING_MS, earliestMs) + random() * Math.min(CEILING_MS, spreadMs))
}
