import { weightOfNow } from './constants.js'
import { virtualArrivalMs } from './virtualArrival.js'

import type { FairnessState, PickNext, WaitingRequest } from './types.js'

/** Order of one request among those that wait; compared field by field, least first. */
interface Rank {
  readonly servedByPriority: number
  readonly negatedPriority: number
  readonly virtualArrivalMs: number
}

const rank = (request: WaitingRequest, fairness: FairnessState, nowWeight: number): Rank => ({
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
 * Weighted fair service of the priorities (each twice the share of the next lower one), and within a priority by
 * virtual arrival: the real one, put off by the length of the request and by what its caller (for its share) and its
 * tenant were served of late.
 *
 * Load pattern: one caller sends many times more than the others; rival tenants share one backend server; long jobs
 * stand in front of short ones; urgent and slow requests want the same model. Without it the hot caller's queue is
 * everybody's queue, and a quick question waits for every review before it.
 *
 * A class that asks for less than its guaranteed share is always served at once, and no class starves. Raising a
 * priority with its age was dropped: under lasting overload old requests pass the urgent ones. So were strict turns
 * between tenants and callers: length and age then never counted (`docs/design/queueing.md`). A request whose deadline
 * has passed is not picked, since its caller has its refusal.
 */
export const pickFairShare: PickNext = (waiting, fairness, nowMs) => {
  const nowWeight = weightOfNow(fairness.asOfMs, nowMs)
  let best: typeof waiting[number] | undefined
  let bestRank: Rank | undefined
  for (const request of waiting) {
    if (request.deadlineAtMs <= nowMs) continue
    const own = rank(request, fairness, nowWeight)
    if (bestRank && !isBefore(own, bestRank)) continue
    best = request
    bestRank = own
  }
  return best
}
