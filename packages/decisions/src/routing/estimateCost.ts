import { MS_PER_SECOND, RoutingTuning } from './constants.js'

import type { RoutingCandidate, RoutingRequest } from './types.js'

/** Aggregates over the candidates of one model, computed once per choice. */
export interface GroupView {
  readonly medianTokenIntervalMs: number
  readonly meanQueuedSeconds: number
}

/** Expected cost of sending a request to one candidate. */
export interface CandidateCost {
  readonly candidate: RoutingCandidate
  /** Expected time until the request starts. */
  readonly waitMs: number
  /** Expected time until the last token, including affinity and distance; comparable between candidates. */
  readonly costMs: number
  /** Part of the cost that a cached prefix or adapter would save. */
  readonly affinityMs: number
  readonly slowness: number
}

const isWarm = (candidate: RoutingCandidate): boolean => candidate.state === 'ready' || candidate.state === 'loading'

/** Median token interval of the candidates, and mean queue of those that are ready or loading. */
export const viewGroup = (candidates: readonly RoutingCandidate[]): GroupView => {
  const intervalsMs = candidates.filter(one => one.tokenIntervalMs > 0).map(one => one.tokenIntervalMs).sort((a, b) => a - b)
  const warm = candidates.filter(isWarm)
  const queuedSeconds = warm.reduce((sum, one) => sum + one.queuedSeconds, 0)
  return {
    // The lower median: of two servers the faster one is the reference.
    medianTokenIntervalMs: intervalsMs[Math.floor((intervalsMs.length - 1) / 2)] ?? 0,
    meanQueuedSeconds: warm.length === 0 ? 0 : queuedSeconds / warm.length
  }
}

/** Estimated slowdown relative to the group, at least 1. It decays with the age of the measurement. */
const estimateSlowness = (candidate: RoutingCandidate, group: GroupView): number => {
  if (group.medianTokenIntervalMs <= 0 || candidate.tokenIntervalMs <= 0) return 1
  const measured = candidate.tokenIntervalMs / group.medianTokenIntervalMs
  const ageMs = candidate.tokenIntervalAgeMs ?? candidate.reportAgeMs
  return 1 + Math.max(0, measured - 1) * Math.exp(-ageMs / RoutingTuning.slownessDecayMs)
}

/** The reported queue, weighted by the age of the report, plus this router's own sends since then. */
const estimateQueueSeconds = (candidate: RoutingCandidate, group: GroupView): number => {
  const reportWeight = Math.exp(-candidate.reportAgeMs / RoutingTuning.reportDecayMs)
  const aged = candidate.queuedSeconds * reportWeight + group.meanQueuedSeconds * (1 - reportWeight)
  return aged + candidate.unreportedSeconds
}

const missedAffinityMs = (request: RoutingRequest, candidate: RoutingCandidate): number => {
  const prefixMs = candidate.hasPrefix ? 0 : request.prefixSavingMs ?? RoutingTuning.defaultSavingMs
  const adapterMs = candidate.hasAdapter ? 0 : request.adapterLoadMs ?? RoutingTuning.defaultSavingMs
  return prefixMs + adapterMs
}

/** Expected wait and cost of one candidate. */
export const estimateCost = (request: RoutingRequest, candidate: RoutingCandidate, group: GroupView): CandidateCost => {
  const slowness = estimateSlowness(candidate, group)
  const queueMs = estimateQueueSeconds(candidate, group) * MS_PER_SECOND
  // The queue does not drain while the model loads, so the two add up.
  const waitMs = candidate.readyInMs + queueMs
  const serviceMs = request.expectedTokens * group.medianTokenIntervalMs * slowness
  const distanceMs = candidate.sameDataCentre ? 0 : RoutingTuning.otherDataCentreMs
  const affinityMs = missedAffinityMs(request, candidate)
  return { candidate, waitMs, costMs: waitMs + serviceMs + affinityMs + distanceMs, affinityMs, slowness }
}
