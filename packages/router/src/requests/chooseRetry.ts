import type { ServeContext } from './types.js'

/** When a refused caller should come back, spread over those that were refused with it. */
export const chooseRetry = (context: ServeContext, estimatedWaitMs: number, resendCount: number): number => {
  const nowMs = context.timers.nowMs()
  const view = {
    estimatedWaitMs,
    recentRefusals: context.refusals.recentRefusals(nowMs),
    servedPerSecond: context.refusals.servedPerSecond(nowMs),
    resendCount
  }
  return Math.max(1, Math.round(context.chooseRetryAfter(view, context.random)))
}
