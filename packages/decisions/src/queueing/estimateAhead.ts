import { QueueTuning, weightOfNow, weightOfPriority } from './constants.js'
import { virtualArrivalMs } from './virtualArrival.js'

import type { CallerName } from '@figmount/base'
import type { EstimateAhead, FairnessState, WaitingRequest } from './types.js'

/** Baseline: all waiting requests are ahead, as in a first-in, first-out queue. */
export const allAhead: EstimateAhead = waiting => waiting.reduce((sum, one) => sum + one.expectedTokens, 0)

/**
 * Tokens of requests with the same priority and an earlier virtual arrival. Each request that is served delays the virtual arrival
 * of its caller's next ones, so only the first few requests of a caller with many are ahead of one from a caller with few.
 */
const aheadInPriority = (waiting: readonly WaitingRequest[], request: WaitingRequest, fairness: FairnessState, nowWeight: number): number => {
  const before = new Map<CallerName, number>()
  const ownTokens = waiting.reduce((sum, one) => one.caller === request.caller ? sum + one.expectedTokens : sum, 0)
  const ownMs = virtualArrivalMs(request, fairness, nowWeight) + ownTokens / request.share * QueueTuning.servedWeightMs
  let ahead = ownTokens
  for (const one of waiting) {
    if (one.caller === request.caller) continue
    const tokensBefore = before.get(one.caller) ?? 0
    before.set(one.caller, tokensBefore + one.expectedTokens)
    const levels = 1 / one.share + (one.tenant === request.tenant ? 0 : 1)
    const putOffMs = tokensBefore * levels * QueueTuning.servedWeightMs
    if (virtualArrivalMs(one, fairness, nowWeight) + putOffMs < ownMs) ahead += one.expectedTokens
  }
  return ahead
}

/**
 * Tokens of requests with other priorities. Each of these priorities is served first until its served tokens, divided by its weight,
 * reach those that the request's priority has when the request is served.
 */
const aheadInOtherPriorities = (waiting: readonly WaitingRequest[], request: WaitingRequest, inPriority: number, fairness: FairnessState, nowWeight: number): number => {
  const servedOf = (priority: number): number => (fairness.servedByPriority?.get(priority) ?? 0) / nowWeight
  const servedAtTurn = servedOf(request.priority) + inPriority / weightOfPriority(request.priority)
  const tokens = new Map<number, number>()
  for (const one of waiting) tokens.set(one.priority, (tokens.get(one.priority) ?? 0) + one.expectedTokens)
  let ahead = 0
  for (const [priority, waitingTokens] of tokens) {
    if (priority === request.priority) continue
    ahead += Math.min(waitingTokens, Math.max(0, servedAtTurn - servedOf(priority)) * weightOfPriority(priority))
  }
  return ahead
}

/**
 * Expected tokens that `pickFairShare` serves before a new request, according to its order. `waiting` is in order of arrival.
 *
 * Load pattern: one caller, or a low priority, fills the queue. Counting the whole queue would refuse other callers
 * because of requests that are served after theirs. Requests that arrive later are not counted; the resulting error
 * is measured by `waitRatio` of the estimates.
 */
export const fairAhead: EstimateAhead = (waiting, request, fairness, nowMs) => {
  const nowWeight = weightOfNow(fairness.asOfMs, nowMs)
  const same = waiting.filter(one => one.priority === request.priority)
  const inPriority = aheadInPriority(same, request, fairness, nowWeight)
  return inPriority + aheadInOtherPriorities(waiting, request, inPriority, fairness, nowWeight)
}
