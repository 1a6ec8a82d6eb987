/** Limits of the platform for the repeats of all routers together. */
export interface RetryLimits {
  /** Repeats per request. */
  readonly ratio: number
  readonly windowMs: number
  /** Additional repeats per window, over all routers. */
  readonly slackCount: number
}

/** Times of one router's requests and repeats for one service within the window. */
export interface RetryHistory {
  readonly requestTimesMs: readonly number[]
  readonly repeatTimesMs: readonly number[]
}

/** Share of the limit that is used. The rest covers requests in transit and windows that do not align. */
const USABLE_SHARE = 0.8

const countSince = (timesMs: readonly number[], sinceMs: number): number => {
  let count = 0
  for (const timeMs of timesMs) {
    if (timeMs > sinceMs) count += 1
  }
  return count
}

/**
 * Whether a router may send a request again. It uses at most the ratio of its own requests and an equal share of the slack, so
 * that all routers together stay within the platform's limit without communicating.
 *
 * Load pattern: a backend server crashes and all of its requests are repeated by routers that may be unable to reach each other.
 * The repeats of many routers would add up and overload the remaining servers. `routerCount` is the largest number of
 * routers seen so far, because a router that is merely unreachable still uses its share.
 */
export const mayRepeat = (limits: RetryLimits, history: RetryHistory, routerCount: number, nowMs: number): boolean => {
  const sinceMs = nowMs - limits.windowMs
  const requests = countSince(history.requestTimesMs, sinceMs)
  const repeats = countSince(history.repeatTimesMs, sinceMs)
  const allowed = requests * limits.ratio + limits.slackCount / Math.max(1, routerCount)
  return repeats + 1 <= allowed * USABLE_SHARE
}
