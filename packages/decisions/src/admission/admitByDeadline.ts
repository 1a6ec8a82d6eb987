import { spreadByDrainTime } from '../retries/spreadByDrainTime.js'

import type { Admit, AdmissionVerdict, AdmissionView } from './types.js'

const MS_PER_SECOND = 1000
const HIGHEST_PRIORITY = 9
/**
 * Part of the queue that only higher priorities may fill: the lowest gets three quarters, the highest all. Deadlines
 * bound the queue first; this keeps room where deadlines are long and the count binds.
 */
const RESERVED_SHARE = 0.25
const countLimit = (view: AdmissionView): number => {
  const below = HIGHEST_PRIORITY - Math.min(HIGHEST_PRIORITY, Math.max(0, view.priority))
  return Math.max(1, Math.floor(view.maxQueuedCount * (1 - RESERVED_SHARE * below / HIGHEST_PRIORITY)))
}

const refuse = (view: AdmissionView, lackMs: number, detail: string, random: () => number): AdmissionVerdict => ({
  kind: 'refuse',
  retryAfterMs: spreadByDrainTime({
    estimatedWaitMs: lackMs,
    recentRefusals: view.recentRefusals ?? 0,
    servedPerSecond: view.servedPerSecond ?? 0,
    resendCount: view.resendCount ?? 0
  }, random),
  detail
})

/**
 * A model that gets ready serves all that wait for it side by side, so its callers may come back together. Spread by
 * the drain time of the whole server they came back up to a minute after their model was ready.
 */
const refuseUntilReady = (view: AdmissionView, lackMs: number, random: () => number): AdmissionVerdict =>
  refuse({ ...view, recentRefusals: 0 }, lackMs, 'its model is not ready before its deadline', random)

/**
 * Admits a request only when its last token is expected before its deadline, and refuses any other at once.
 *
 * Load pattern: more work than capacity for longer than the queue can hold. Without it every request waits until its
 * deadline and fails there: the server works at full speed on answers that nobody takes any more, and the caller has
 * lost the time in which it could have asked elsewhere.
 *
 * Room for the past error of such predictions was tried and dropped: it refused requests that would have been served
 * and saved hardly a missed deadline (`docs/design/admission.md`). `secondsAhead` counts work at or above the request's own priority, so that lower ones feel overload first. A refusal
 * names the time after which the wait would have been short enough, spread over those that were refused as well.
 */
export const admitByDeadline: Admit = (view, random) => {
  const waitMs = view.readyInMs + view.secondsAhead * MS_PER_SECOND
  const serviceMs = (view.boundTokens ?? view.expectedTokens) * view.tokenIntervalMs
  const lateMs = waitMs + serviceMs - view.remainingMs
  if (view.readyInMs > 0 && view.readyInMs + serviceMs > view.remainingMs) return refuseUntilReady(view, lateMs, random)
  if (lateMs > 0) return refuse(view, lateMs, 'cannot be served before its deadline', random)
  if (view.queuedCount >= countLimit(view)) return refuse(view, waitMs / 2, 'queue is full at this priority', random)
  return { kind: 'admit', estimatedWaitMs: waitMs }
}
