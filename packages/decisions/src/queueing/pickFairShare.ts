import { QueueTuning, weightOfNow } from './constants.js'

import type { FairnessState, PickNext, WaitingRequest } from './types.js'

/** Order of one request among those that wait; compared field by field, least first. */
interface Rank {
  readonly servedByPriority: number
  readonly negatedPriority: number
  readonly servedByTenant: number
  readonly servedByCaller: number
  readonly startMs: number
}

const rank = (request: WaitingRequest, fairness: FairnessState, quantum: number): Rank => ({
  servedByPriority: fairness.servedByPriority?.get(request.priority) ?? 0,
  negatedPriority: -request.priority,
  servedByTenant: Math.floor((fairness.servedByTenant.get(request.tenant) ?? 0) / quantum),
  servedByCaller: Math.floor((fairness.servedByCaller.get(request.caller) ?? 0) / quantum),
  startMs: request.arrivedAtMs + request.expectedTokens * QueueTuning.lengthWeightMs
})

const isBefore = (a: Rank, b: Rank): boolean => {
  if (a.servedByPriority !== b.servedByPriority) return a.servedByPriority < b.servedByPriority
  if (a.negatedPriority !== b.negatedPriority) return a.negatedPriority < b.negatedPriority
  if (a.servedByTenant !== b.servedByTenant) return a.servedByTenant < b.servedByTenant
  if (a.servedByCaller !== b.servedByCaller) return a.servedByCaller < b.servedByCaller
  return a.startMs < b.startMs
}

/**
 * Weighted fair service in three levels: between priorities (each twice the share of the next lower one), within a
 * priority between tenants, within a tenant between callers by their share, and for one caller short before long.
 *
 * Load pattern: one caller sends many times more than the others; rival tenants share one backend server; long jobs
 * stand in front of short ones; urgent and slow requests want the same model. Without it the hot caller's queue is
 * everybody's queue, and a quick question waits for every review before it.
 *
 * A class that asks for less than its guaranteed share is always served at once, and no class starves. Raising a
 * priority with its age was tried first and dropped: under lasting overload all old requests reach the top, and the
 * urgent ones wait behind them as in arrival order (`docs/design/queueing.md`). A request whose deadline has passed is
 * not picked, since its caller has its refusal.
 */
export const pickFairShare: PickNext = (waiting, fairness, nowMs) => {
  const quantum = QueueTuning.quantumTokens * weightOfNow(fairness.asOfMs, nowMs)
  let best: typeof waiting[number] | undefined
  let bestRank: Rank | undefined
  for (const request of waiting) {
    if (request.deadlineAtMs <= nowMs) continue
    const own = rank(request, fairness, quantum)
    if (bestRank && !isBefore(own, bestRank)) continue
    best = request
    bestRank = own
  }
  return best
}
