import { MS_PER_SECOND, RoutingTuning } from './constants.js'

import type { RoutingCandidate, RoutingRequest } from './types.js'

/** What the candidates of one model have in common, worked out once for a choice. */
export interface GroupView {
  readonly medianTokenIntervalMs: number
  readonly meanQueuedSeconds: number
}

/** What sending a request to one candidate costs it. */
export interface CandidateCost {
  readonly candidate: RoutingCandidate
  /** Expected time until its first token's turn comes. */
  readonly waitMs: number
  /** Expected time until its last token, with affinity and distance; comparable between candidates. */
  readonly costMs: number
  /** Part of the cost that a cached prefix or adapter would have saved. */
  readonly affinityMs: number
  readonly slowness: number
}

const isWarm = (candidate: RoutingCandidate): boolean => candidate.state === 'ready' || candidate.state === 'loading'

/** Median speed and mean queue of those candidates that serve already. */
export const viewGroup = (candidates: readonly RoutingCandidate[]): GroupView => {
  const intervalsMs = candidates.filter(one => one.tokenIntervalMs > 0).map(one => one.tokenIntervalMs).sort((a, b) => a - b)
  const warm = candidates.filter(isWarm)
  const queuedSeconds = warm.reduce((sum, one) => sum + one.queuedSeconds, 0)
  return {
    // The lower median: with two servers the faster one is the norm.
    medianTokenIntervalMs: intervalsMs[Math.floor((intervalsMs.length - 1) / 2)] ?? 0,
    meanQueuedSeconds: warm.length === 0 ? 0 : queuedSeconds / warm.length
  }
}

/** How many times slower than the group it is believed to be, at least 1; the belief fades with the age of its ground. */
const believedSlowness = (candidate: RoutingCandidate, group: GroupView): number => {
  if (group.medianTokenIntervalMs <= 0 || candidate.tokenIntervalMs <= 0) return 1
  const measured = candidate.tokenIntervalMs / group.medianTokenIntervalMs
  const ageMs = candidate.tokenIntervalAgeMs ?? candidate.reportAgeMs
  return 1 + Math.max(0, measured - 1) * Math.exp(-ageMs / RoutingTuning.slowMemoryMs)
}

/** The reported queue less what the age of the report makes it worth, plus own sends that it cannot contain. */
const believedQueueSeconds = (candidate: RoutingCandidate, group: GroupView): number => {
  const trust = Math.exp(-candidate.reportAgeMs / RoutingTuning.reportMemoryMs)
  const aged = candidate.queuedSeconds * trust + group.meanQueuedSeconds * (1 - trust)
  return aged + candidate.unreportedSeconds
}

const missedAffinityMs = (request: RoutingRequest, candidate: RoutingCandidate): number => {
  const prefixMs = candidate.hasPrefix ? 0 : request.prefixSavingMs ?? RoutingTuning.defaultSavingMs
  const adapterMs = candidate.hasAdapter ? 0 : request.adapterLoadMs ?? RoutingTuning.defaultSavingMs
  return prefixMs + adapterMs
}

/** Expected wait and cost of one candidate in ms. */
export const estimateCost = (request: RoutingRequest, candidate: RoutingCandidate, group: GroupView): CandidateCost => {
  const slowness = believedSlowness(candidate, group)
  const queueMs = believedQueueSeconds(candidate, group) * MS_PER_SECOND
  // The queue drains while the model loads only when it is ready, so the two add up.
  const waitMs = candidate.readyInMs + queueMs
  const serviceMs = request.expectedTokens * group.medianTokenIntervalMs * slowness
  const distanceMs = candidate.sameDataCentre ? 0 : RoutingTuning.otherDataCentreMs
  const affinityMs = missedAffinityMs(request, candidate)
  return { candidate, waitMs, costMs: waitMs + serviceMs + affinityMs + distanceMs, affinityMs, slowness }
}
