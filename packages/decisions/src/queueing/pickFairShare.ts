import { QueueTuning } from './constants.js'

import type { FairnessState, PickNext, WaitingRequest } from './types.js'

/** Order of one request among those that wait; compared field by field, least first. */
interface Rank {
  readonly negatedPriority: number
  readonly servedByTenant: number
  readonly servedByCaller: number
  readonly startMs: number
}

const agedPriority = (request: WaitingRequest, nowMs: number): number =>
  request.priority + Math.floor((nowMs - request.arrivedAtMs) / QueueTuning.agingMs)

const rank = (request: WaitingRequest, fairness: FairnessState, nowMs: number): Rank => ({
  negatedPriority: -agedPriority(request, nowMs),
  servedByTenant: fairness.servedByTenant.get(request.tenant) ?? 0,
  servedByCaller: fairness.servedByCaller.get(request.caller) ?? 0,
  startMs: request.arrivedAtMs + request.expectedTokens * QueueTuning.lengthWeightMs
})

const isBefore = (a: Rank, b: Rank): boolean => {
  if (a.negatedPriority !== b.negatedPriority) return a.negatedPriority < b.negatedPriority
  if (a.servedByTenant !== b.servedByTenant) return a.servedByTenant < b.servedByTenant
  if (a.servedByCaller !== b.servedByCaller) return a.servedByCaller < b.servedByCaller
  return a.startMs < b.startMs
}

/**
 * Serves the highest priority first, within it the tenant that was served least, within it the caller that was served
 * least for its share, within it short requests before long ones.
 *
 * Load pattern: one caller sends many times more than the others; rival tenants share one backend server; long jobs
 * stand in front of short ones; urgent and slow requests want the same model. Without it the hot caller's queue is
 * everybody's queue, and a quick question waits for every review before it.
 *
 * Low priorities do not starve: waiting lifts them (`QueueTuning.agingMs`). Long jobs do not either: their length
 * weighs as a bounded delay. A request whose deadline has passed is not picked, since its caller has its refusal.
 */
export const pickFairShare: PickNext = (waiting, fairness, nowMs) => {
  let best: typeof waiting[number] | undefined
  let bestRank: Rank | undefined
  for (const request of waiting) {
    if (request.deadlineAtMs <= nowMs) continue
    const own = rank(request, fairness, nowMs)
    if (bestRank && !isBefore(own, bestRank)) continue
    best = request
    bestRank = own
  }
  return best
}
