import { spreadByDrainTime } from '../retries/spreadByDrainTime.js'

import type { Admit, AdmissionVerdict, AdmissionView } from './types.js'

const MS_PER_SECOND = 1000
const HIGHEST_PRIORITY = 9
/**
 * Share of the queue that is reserved for higher priorities: the lowest priority may fill three quarters, the highest all of it.
 * Usually deadlines limit the queue first; this reserves room when deadlines are long and the count is the limit.
 */
const RESERVED_SHARE = 0.25
const maxQueuedAtPriority = (view: AdmissionView): number => {
  const below = HIGHEST_PRIORITY - Math.min(HIGHEST_PRIORITY, Math.max(0, view.priority))
  return Math.max(1, Math.floor(view.maxQueuedCount * (1 - RESERVED_SHARE * below / HIGHEST_PRIORITY)))
}

const refuse = (view: AdmissionView, shortfallMs: number, detail: string, random: () => number): AdmissionVerdict => ({
  kind: 'refuse',
  retryAfterMs: spreadByDrainTime({
    estimatedWaitMs: shortfallMs,
    recentRefusals: view.recentRefusals ?? 0,
    servedPerSecond: view.servedPerSecond ?? 0,
    resendCount: view.resendCount ?? 0
  }, random),
  detail
})

/**
 * A model that becomes ready serves all requests that wait for it in parallel, so its callers may retry at the same time. When
 * their retries were spread over the drain time of the whole server, they came up to a minute after their model was ready.
 */
const refuseUntilReady = (view: AdmissionView, shortfallMs: number, random: () => number): AdmissionVerdict =>
  refuse({ ...view, recentRefusals: 0 }, shortfallMs, 'its model is not ready before its deadline', random)

/**
 * Admits a request only when its last token is expected before its deadline, and refuses any other at once.
 *
 * Load pattern: demand above capacity for longer than the queue can absorb. Without this rule every request waits until its
 * deadline and fails there: the server spends its full capacity on answers that no caller receives, and callers lose
 * the time in which they could have tried elsewhere.
 *
 * A safety margin for the past error of such predictions was tried and rejected: it refused requests that would have been
 * served, and prevented hardly any missed deadlines (`docs/design/admission.md`). `secondsAhead` counts work at or above
 * the request's own priority, so that lower priorities are refused first under overload. A refusal carries the time after which the
 * wait would have been short enough, spread over all that were refused.
 */
export const admitByDeadline: Admit = (view, random) => {
  const waitMs = view.readyInMs + view.secondsAhead * MS_PER_SECOND
  const serviceMs = (view.boundTokens ?? view.expectedTokens) * view.tokenIntervalMs
  const lateMs = waitMs + serviceMs - view.remainingMs
  if (view.readyInMs > 0 && view.readyInMs + serviceMs > view.remainingMs) return refuseUntilReady(view, lateMs, random)
  if (lateMs > 0) return refuse(view, lateMs, 'cannot be served before its deadline', random)
  if (view.queuedCount >= maxQueuedAtPriority(view)) return refuse(view, waitMs / 2, 'queue is full at this priority', random)
  return { kind: 'admit', estimatedWaitMs: waitMs }
}
