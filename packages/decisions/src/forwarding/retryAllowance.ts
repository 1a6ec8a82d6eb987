/** What the platform allows all routers together. */
export interface RetryLimits {
  /** Repeats for each request. */
  readonly ratio: number
  readonly windowMs: number
  /** Repeats in a window beyond the ratio, over all routers. */
  readonly slackCount: number
}

/** Times of one router's requests and repeats for one service within the window. */
export interface RetryHistory {
  readonly requestTimesMs: readonly number[]
  readonly repeatTimesMs: readonly number[]
}

/** Part of the platform's allowance that is used: the rest covers requests on their way and windows that don't align. */
const USED_SHARE = 0.8

const countSince = (timesMs: readonly number[], sinceMs: number): number => {
  let count = 0
  for (const timeMs of timesMs) {
    if (timeMs > sinceMs) count += 1
  }
  return count
}

/**
 * Whether a router may send one request again. It spends at most its own requests' part and an equal part of the
 * slack, so the sum over all routers stays within the platform's bound without any message between them.
 *
 * Load pattern: a backend server dies and every request there comes back, at routers that cannot hear each other.
 * Without it the repeats of many routers add up and overload the servers that are left. `routerCount` is the most
 * routers seen so far: one that is only out of sight still spends its part.
 */
export const mayRepeat = (limits: RetryLimits, history: RetryHistory, routerCount: number, nowMs: number): boolean => {
  const sinceMs = nowMs - limits.windowMs
  const requests = countSince(history.requestTimesMs, sinceMs)
  const repeats = countSince(history.repeatTimesMs, sinceMs)
  const allowed = requests * limits.ratio + limits.slackCount / Math.max(1, routerCount)
  return repeats + 1 <= allowed * USED_SHARE
}
