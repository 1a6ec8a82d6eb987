import type { ServeContext } from './types.js'

/** Returns the retry delay of a refused caller, spread so that callers refused together do not return together. */
export const chooseRetryAfterMs = (context: ServeContext, estimatedWaitMs: number, resendCount: number): number => {
  const nowMs = context.timers.nowMs()
  const view = {
    estimatedWaitMs,
    recentRefusals: context.refusals.recentRefusals(nowMs),
    servedPerSecond: context.refusals.servedPerSecond(nowMs),
    resendCount
  }
  return Math.max(1, Math.round(context.chooseRetryAfter(view, context.random)))
}
