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

/** Retries of one router within the window. */
export const countRetries = (limits: RetryLimits, history: RetryHistory, nowMs: number): number =>
  countSince(history.repeatTimesMs, nowMs - limits.windowMs)

/** Retries that one router may send within the window. */
export const maxRetries = (limits: RetryLimits, history: RetryHistory, routerCount: number, nowMs: number): number => {
  const requests = countSince(history.requestTimesMs, nowMs - limits.windowMs)
  return (requests * limits.ratio + limits.slackCount / Math.max(1, routerCount)) * USABLE_SHARE
}

/**
 * Whether a router may send a request again. It uses at most the ratio of its own requests and an equal share of the slack, so
 * that all routers together stay within the platform's limit without communicating.
 *
 * Load pattern: a backend server crashes and all of its requests are repeated by routers that may be unable to reach each other.
 * The repeats of many routers would add up and overload the remaining servers. `routerCount` is the largest number of
 * routers seen so far, because a router that is merely unreachable still uses its share.
 */
export const mayRepeat = (limits: RetryLimits, history: RetryHistory, routerCount: number, nowMs: number): boolean =>
  countRetries(limits, history, nowMs) + 1 <= maxRetries(limits, history, routerCount, nowMs)
