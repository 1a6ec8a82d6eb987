/** Limits of the platform for the retries of one service, by all routers together. */
export interface RetryLimits {
  /** Retries per request. */
  readonly ratio: number
  readonly windowMs: number
  /** Additional retries per window. */
  readonly slackCount: number
}

/** What one router knows of its own retries for one service. */
export interface RetryView {
  /** Requests that it has received within the window. */
  readonly requestCount: number
  /** Retries that it has sent and that may still arrive, or have arrived within the window. */
  readonly retryCount: number
  /** Time since its process started. */
  readonly upForMs: number
  /** Number of routers, as far as it has heard. */
  readonly routerCount: number
  /** Time for which the other routers have counted this one; 0 while they may not. */
  readonly countedForMs: number
}

/** Share of the limits that routers use which know all their retries in the window. */
const KNOWN_SHARE = 0.55

/**
 * Share that routers use which have started within the window. With `KNOWN_SHARE` it is less than 1: what a start spends comes on top of
 * what the process before it has spent.
 */
const START_SHARE = 0.4

/** Share of its part of the slack that a start may spend at once, as far as it is no more than `FIRST_COUNT`. */
const FIRST_SHARE = 0.55

/** A start meets the first server that fails before it can know of it. */
const FIRST_COUNT = 1

const isWhole = (knownForMs: number, { windowMs }: RetryLimits): boolean => knownForMs >= windowMs

const slackPart = ({ slackCount }: RetryLimits, routerCount: number): number => slackCount / Math.max(1, routerCount)

const maxFromSlack = (limits: RetryLimits, { routerCount, countedForMs }: RetryView): number => {
  const part = slackPart(limits, routerCount)
  if (isWhole(countedForMs, limits)) return part * KNOWN_SHARE
  const startPart = part * START_SHARE
  return Math.max(startPart * countedForMs / limits.windowMs, Math.min(FIRST_COUNT, startPart * FIRST_SHARE))
}

/** Retries within the window that a router may send, not all of which need to be whole. */
export const maxRetries = (limits: RetryLimits, view: RetryView): number => {
  const ratioShare = isWhole(view.upForMs, limits) ? KNOWN_SHARE : START_SHARE
  return view.requestCount * limits.ratio * ratioShare + maxFromSlack(limits, view)
}

/**
 * Whether a router may send one more retry.
 *
 * Load pattern: servers turn requests away while routers are killed and start again. Each start knows nothing of the retries before it.
 * If it spent its whole part, ten starts in a window would send ten times the limit to servers that are full. A router therefore spends a
 * part that is smaller until it has run for a window, and grows with the requests that it has received and the time for which it has been
 * counted: however often it starts, its processes together spend no more in a window than one of them. Only the one retry that each start
 * may send at once comes on top; the limits leave room for some twenty starts of all routers in a window.
 *
 * The part that belongs to requests needs no number of routers. The part of the slack does: a router that nobody counts has no more of it
 * than a start, one retry at most.
 */
export const mayRetry = (limits: RetryLimits, view: RetryView): boolean => view.retryCount + 1 <= maxRetries(limits, view)

/** Retries per ms by which a router's part grows; 0 once it is whole. */
const growthPerMs = (limits: RetryLimits, { requestCount, upForMs, routerCount, countedForMs }: RetryView): number => {
  const byRequests = isWhole(upForMs, limits) ? 0 : requestCount * limits.ratio * START_SHARE / Math.max(1, upForMs)
  const isGrowing = countedForMs > 0 && !isWhole(countedForMs, limits)
  return byRequests + (isGrowing ? slackPart(limits, routerCount) * START_SHARE / limits.windowMs : 0)
}

/**
 * Expected time until a router may send one more retry, behind `aheadCount` others that wait; Infinity if nothing tells. `leavesInMs` holds
 * the times until its retries leave the window, in order.
 */
export const retryWaitMs = (limits: RetryLimits, view: RetryView, aheadCount: number, leavesInMs: readonly number[]): number => {
  const missingCount = view.retryCount + aheadCount + 1 - maxRetries(limits, view)
  if (missingCount <= 0) return 0
  const growth = growthPerMs(limits, view)
  const grownMs = growth > 0 ? missingCount / growth : Infinity
  return Math.min(grownMs, leavesInMs[Math.ceil(missingCount) - 1] ?? Infinity)
}
