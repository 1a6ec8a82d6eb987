import type { ChooseRetryAfter, RetryAfterView } from './types.js'

const MS_PER_SECOND = 1000
/** Under a fifth of a second a caller's round trip and its own timers make up most of the wait. */
const FLOOR_MS = 200
/** A caller that is told more than a minute may as well ask another day; the operator's deadlines are of that size. */
const CEILING_MS = 60_000
/** Least spread: twice the floor. */
const LEAST_SPREAD_MS = 400
/** Resends after which the spread stops doubling while nothing is served: 2^5 of the least spread is about 13 s. */
const MAX_DOUBLINGS = 5
/** Part of the served rate that may be promised to those that come back; the rest is for new requests. */
const PROMISED_SHARE = 0.8

/**
 * Time in which those that were refused can be served. With an unknown rate (an outage) the spread doubles with each
 * resend, which bounds the load without knowing anything; with a known one doubling would only punish whoever has
 * waited longest.
 */
const spreadMs = (view: RetryAfterView): number => {
  if (view.servedPerSecond <= 0) return LEAST_SPREAD_MS * 2 ** Math.min(view.resendCount, MAX_DOUBLINGS)
  const drainMs = view.recentRefusals / (view.servedPerSecond * PROMISED_SHARE) * MS_PER_SECOND
  return Math.max(LEAST_SPREAD_MS, drainMs)
}

/**
 * Tells a refused caller to come back after the expected wait, at a random moment of the time that it takes to serve
 * all that were refused with it.
 *
 * Load pattern: an outage or a burst leaves thousands of callers that never give up. Without it they come back in
 * step, are refused in step, and the herd repeats although the capacity would have sufficed for all of them one after
 * the other.
 */
export const spreadByDrainTime: ChooseRetryAfter = (view, random) => {
  const earliestMs = Math.max(FLOOR_MS, view.estimatedWaitMs)
  return Math.round(Math.min(CEILING_MS, earliestMs) + random() * Math.min(CEILING_MS, spreadMs(view)))
}
