import { RoutingTuning } from './constants.js'
import { estimateCost, viewGroup } from './estimateCost.js'
import { sampleIndices } from './sampleIndices.js'

import type { CandidateCost } from './estimateCost.js'
import type { ChooseBackend, RoutingCandidate, RoutingChoice, RoutingRequest } from './types.js'

interface Shortlist {
  readonly warm: readonly CandidateCost[]
  readonly cold: readonly CandidateCost[]
}

const isCold = (candidate: RoutingCandidate): boolean =>
  candidate.state === 'cold' || candidate.state === 'disk' || candidate.state === 'memory'

const minBy = (costs: readonly CandidateCost[], measure: (cost: CandidateCost) => number): CandidateCost | undefined => {
  let best: CandidateCost | undefined
  for (const cost of costs) {
    if (!best || measure(cost) < measure(best)) best = cost
  }
  return best
}

const costOf = (cost: CandidateCost): number => cost.costMs
const readyInMsOf = (cost: CandidateCost): number => cost.candidate.readyInMs

/**
 * Considers only readiness. The reported queue covers all priorities and callers and is as old as the report: refusals based on
 * it hit urgent requests that the agent, which applies the queue order, would have started at once.
 */
const isReadyInTime = (request: RoutingRequest, cost: CandidateCost): boolean =>
  readyInMsOf(cost) <= request.remainingMs

const send = (cost: CandidateCost): RoutingChoice =>
  ({ kind: 'send', candidate: cost.candidate, estimatedWaitMs: cost.waitMs })

/**
 * A server that was measured slow gets one request of this router at a time until a new measurement clears it.
 * Without this limit all routers whose estimates decay at the same time send it a burst of probes, and the callers
 * among them wait ten times as long.
 */
const isOnProbation = (cost: CandidateCost): boolean =>
  cost.candidate.unreportedSeconds > 0 && cost.slowness > 1 && isMeasuredSlow(cost)

const isMeasuredSlow = (cost: CandidateCost): boolean => {
  const ageMs = cost.candidate.tokenIntervalAgeMs ?? cost.candidate.reportAgeMs
  return 1 + (cost.slowness - 1) * Math.exp(ageMs / RoutingTuning.slownessDecayMs) > RoutingTuning.slowFactor
}

const withoutProbation = (costs: readonly CandidateCost[]): readonly CandidateCost[] => {
  const free = costs.filter(cost => !isOnProbation(cost))
  return free.length > 0 ? free : costs
}

const shortlist = (request: RoutingRequest, candidates: readonly RoutingCandidate[], random: () => number): Shortlist => {
  const scanned: RoutingCandidate[] = []
  for (const index of sampleIndices(candidates.length, RoutingTuning.scanCount, random)) {
    const candidate = candidates[index]
    if (candidate && candidate.state !== 'unloading') scanned.push(candidate)
  }
  const group = viewGroup(scanned)
  const costs = scanned.map(candidate => estimateCost(request, candidate, group))
  return {
    warm: withoutProbation(costs.filter(cost => !isCold(cost.candidate))),
    cold: costs.filter(cost => isCold(cost.candidate))
  }
}

/**
 * Candidates that already have the most of the request's prefix and adapter. Empty when all have the same: adding one of them to
 * the random sample would only make routers herd.
 */
const withBestAffinity = (warm: readonly CandidateCost[]): readonly CandidateCost[] => {
  const leastMs = Math.min(...warm.map(cost => cost.affinityMs))
  const holders = warm.filter(cost => cost.affinityMs === leastMs)
  return holders.length < warm.length ? holders : []
}

/** The cheapest of a few random candidates, to which one that holds the prefix or the adapter is always added. */
const chooseWarm = (warm: readonly CandidateCost[], sampleCount: number, random: () => number): CandidateCost | undefined => {
  const drawn = sampleIndices(warm.length, sampleCount, random).flatMap(index => warm[index] ?? [])
  const holders = withBestAffinity(warm)
  const holder = holders[Math.floor(random() * holders.length)]
  return minBy(holder ? [...drawn, holder] : drawn, costOf)
}

const compareReadiness = (a: CandidateCost, b: CandidateCost): number =>
  a.candidate.readyInMs - b.candidate.readyInMs ||
  a.candidate.slotIndex - b.candidate.slotIndex ||
  (a.candidate.instance < b.candidate.instance ? -1 : 1)

/**
 * Chooses the same cold slot on every router, by readiness first: distance and own sends differ between routers, and choosing by
 * them would start a replica for each router. The next slot is chosen only when the queue of the first outgrows it.
 */
const chooseCold = (cold: readonly CandidateCost[]): CandidateCost | undefined => {
  let best: CandidateCost | undefined
  for (const next of [...cold].sort(compareReadiness)) {
    if (!best || best.costMs > next.costMs * RoutingTuning.coldStartMargin) best = next
  }
  return best
}

/**
 * Chooses between the cheapest of `sampleCount` random warm servers (ready or loading) and the quickest cold one.
 *
 * Load pattern: many routers decide at the same moment on reports that are a second old; one server may be ten times slower
 * than the others; the model may be cold everywhere. Without this choice all routers send to the server that was idle in the
 * last report, a slow server fills with callers that time out, and a burst for a cold model starts every replica that is
 * allowed.
 *
 * The warm choice is random, so that routers with the same reports do not herd. The cold choice is not: all routers take the
 * same slot, and their loads merge into one. A cold slot is started next to warm ones only when the queue costs more
 * than the cold start times `coldStartMargin`. A request is refused here only when no candidate becomes ready in time and one
 * is already loading. The agent decides whether the queue is short enough and a cold start fast enough. For the reasons behind
 * the constants see `RoutingTuning` and `docs/decisions/table.md`.
 */
export const makeChooseLeastCost = (sampleCount: number): ChooseBackend => (request, candidates, random): RoutingChoice => {
  const { warm, cold } = shortlist(request, candidates, random)
  const warmBest = chooseWarm(warm, sampleCount, random)
  const coldBest = chooseCold(cold)
  const chosen = chooseColdOrWarm(warmBest, coldBest)
  if (chosen && isReadyInTime(request, chosen)) return send(chosen)
  // The sample may have missed the only server that is ready in time: a refusal must hold for all scanned candidates.
  const quickest = minBy([...warm, ...cold], readyInMsOf)
  if (!quickest) return { kind: 'none', estimatedWaitMs: request.coldStartMs }
  if (isReadyInTime(request, quickest)) return send(quickest)
  // A model that seems to load too slowly must still be loaded. If its requests were refused here, no agent would receive them.
  // The agent of a cold slot refuses the request just as fast, and starts the load.
  if (warm.length === 0 && coldBest) return send(coldBest)
  return { kind: 'none', estimatedWaitMs: readyInMsOf(quickest) }
}

/** The choice with the sample count that the figures in `docs/decisions/table.md` were measured with. */
export const chooseLeastCost: ChooseBackend = makeChooseLeastCost(RoutingTuning.sampleCount)

const chooseColdOrWarm = (warm: CandidateCost | undefined, cold: CandidateCost | undefined): CandidateCost | undefined => {
  if (!warm || !cold) return warm ?? cold
  return warm.costMs > cold.costMs * RoutingTuning.coldStartMargin ? cold : warm
}
