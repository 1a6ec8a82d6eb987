import { QueueTuning, weightOfNow } from './constants.js'

import type { FairnessState, PickNext, WaitingRequest } from './types.js'

/** Order of one request among those that wait; compared field by field, least first. */
interface Rank {
  readonly servedByPriority: number
  readonly negatedPriority: number
  /** Virtual arrival: later the longer the request is and the more its caller and tenant were served. */
  readonly startMs: number
}

const rank = (request: WaitingRequest, fairness: FairnessState, scale: number): Rank => {
  const servedByTenant = fairness.servedByTenant.get(request.tenant) ?? 0
  const servedByCaller = fairness.servedByCaller.get(request.caller) ?? 0
  const servedMs = (servedByTenant + servedByCaller) / scale * QueueTuning.servedWeightMs
  return {
    servedByPriority: fairness.servedByPriority?.get(request.priority) ?? 0,
    negatedPriority: -request.priority,
    startMs: request.arrivedAtMs + request.expectedTokens * QueueTuning.lengthWeightMs + servedMs
  }
}

const isBefore = (a: Rank, b: Rank): boolean => {
  if (a.servedByPriority !== b.servedByPriority) return a.servedByPriority < b.servedByPriority
  if (a.negatedPriority !== b.negatedPriority) return a.negatedPriority < b.negatedPriority
  return a.startMs < b.startMs
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
 * priority with its age was tried first and dropped: under lasting overload all old requests reach the top, and the
 * urgent ones wait behind them as in arrival order. Strict turns between tenants and callers were dropped too, since
 * length and age then never counted (`docs/design/queueing.md`). A request whose deadline has passed is
 * not picked, since its caller has its refusal.
 */
export const pickFairShare: PickNext = (waiting, fairness, nowMs) => {
  const scale = weightOfNow(fairness.asOfMs, nowMs)
  let best: typeof waiting[number] | undefined
  let bestRank: Rank | undefined
  for (const request of waiting) {
    if (request.deadlineAtMs <= nowMs) continue
    const own = rank(request, fairness, scale)
    if (bestRank && !isBefore(own, bestRank)) continue
    best = request
    bestRank = own
  }
  return best
}
