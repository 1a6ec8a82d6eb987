import type { ChooseRetryAfter, RetryAfterView } from './types.js'

const MS_PER_SECOND = 1000
/** Below a fifth of a second the caller's round trip and its own timers make up most of the wait. */
const MIN_RETRY_AFTER_MS = 200
/** A longer retry time than a minute is as bad as a failure for the caller; operators set deadlines of that order. */
const MAX_RETRY_AFTER_MS = 60_000
/** Twice the minimum retry time. */
const MIN_SPREAD_MS = 400
/** Number of resends after which the spread stops doubling while nothing is served: 2^5 times the minimum is about 13 s. */
const MAX_DOUBLINGS = 5
/** Share of the service rate that retries may use; the rest is reserved for new requests. */
const RETRY_CAPACITY_SHARE = 0.8

/**
 * Time in which the refused requests can be served. While the service rate is unknown (an outage) the spread doubles with each
 * resend, which limits the load without further information. With a known rate, doubling would only penalise the callers
 * that have waited longest.
 */
const spreadMs = (view: RetryAfterView): number => {
  if (view.servedPerSecond <= 0) return MIN_SPREAD_MS * 2 ** Math.min(view.resendCount, MAX_DOUBLINGS)
  const drainMs = view.recentRefusals / (view.servedPerSecond * RETRY_CAPACITY_SHARE) * MS_PER_SECOND
  return Math.max(MIN_SPREAD_MS, drainMs)
}

/**
 * Lets a refused caller retry after the expected wait, at a random moment within the time that it takes to serve all
 * requests that were refused with it.
 *
 * Load pattern: an outage or a burst leaves thousands of callers that never give up. Without the spread they retry in
 * step and are refused in step, and this thundering herd repeats although the capacity suffices to serve them one after
 * the other.
 */
export const spreadByDrainTime: ChooseRetryAfter = (view, random) => {
  const earliestMs = Math.max(MIN_RETRY_AFTER_MS, view.estimatedWaitMs)
  return Math.round(Math.min(MAX_RETRY_AFTER_MS, earliestMs) + random() * Math.min(MAX_RETRY_AFTER_MS, spreadMs(view)))
}
