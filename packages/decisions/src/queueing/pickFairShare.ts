import { weightOfNow } from './constants.js'
import { virtualArrivalMs } from './virtualArrival.js'

import type { FairnessState, PickNext, WaitingRequest } from './types.js'

/** Sort key of a waiting request; compared field by field, smallest first. */
interface Rank {
  readonly servedByPriority: number
  readonly negatedPriority: number
  readonly virtualArrivalMs: number
}

const rankOf = (request: WaitingRequest, fairness: FairnessState, nowWeight: number): Rank => ({
  servedByPriority: fairness.servedByPriority?.get(request.priority) ?? 0,
  negatedPriority: -request.priority,
  virtualArrivalMs: virtualArrivalMs(request, fairness, nowWeight)
})

const isBefore = (a: Rank, b: Rank): boolean => {
  if (a.servedByPriority !== b.servedByPriority) return a.servedByPriority < b.servedByPriority
  if (a.negatedPriority !== b.negatedPriority) return a.negatedPriority < b.negatedPriority
  return a.virtualArrivalMs < b.virtualArrivalMs
}

/**
 * Weighted fair queueing of the priorities (each gets twice the share of the next lower one), and within a priority the order of
 * virtual arrival: the actual arrival, delayed by the request's length and by the tokens that its caller (divided by its share)
 * and its tenant were served recently.
 *
 * Load pattern: one caller sends many times more than the others; competing tenants share one backend server; long requests
 * precede short ones; urgent and batch requests use the same model. First come, first served would make all callers wait
 * behind the one with the most requests, and a short request behind every long one.
 *
 * A priority that demands less than its guaranteed share is always served at once, and none starves. Two alternatives were tried
 * and rejected: priorities that rise with age (under sustained overload old requests overtake urgent ones) and strict turns
 * between tenants and callers (length and age then had no effect, see `docs/design/queueing.md`). A request whose deadline
 * has passed is not picked, because its caller has already been refused.
 */
export const pickFairShare: PickNext = (waiting, fairness, nowMs) => {
  const nowWeight = weightOfNow(fairness.asOfMs, nowMs)
  let best: typeof waiting[number] | undefined
  let bestRank: Rank | undefined
  for (const request of waiting) {
    if (request.deadlineAtMs <= nowMs) continue
    const own = rankOf(request, fairness, nowWeight)
    if (bestRank && !isBefore(own, bestRank)) continue
    best = request
    bestRank = own
  }
  return best
}
