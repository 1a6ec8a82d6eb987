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

const leastBy = (costs: readonly CandidateCost[], measure: (cost: CandidateCost) => number): CandidateCost | undefined => {
  let best: CandidateCost | undefined
  for (const cost of costs) {
    if (!best || measure(cost) < measure(best)) best = cost
  }
  return best
}

const costOf = (cost: CandidateCost): number => cost.costMs
const readinessOf = (cost: CandidateCost): number => cost.candidate.readyInMs

/**
 * Only readiness counts here. The reported queue is that of all priorities and callers, late by a report: refusing on
 * it refused urgent requests which the agent, who knows the order of service, would have started at once.
 */
const isReadyInTime = (request: RoutingRequest, cost: CandidateCost): boolean =>
  readinessOf(cost) <= request.remainingMs

const send = (cost: CandidateCost): RoutingChoice =>
  ({ kind: 'send', candidate: cost.candidate, estimatedWaitMs: cost.waitMs })

/**
 * A server that was measured slow gets one request of this router at a time until a new interval clears it.
 * Without this a group of routers whose belief fades at the same time sends it a herd of probes, and the
 * callers among them wait ten times as long.
 */
const onProbation = (cost: CandidateCost): boolean =>
  cost.candidate.unreportedSeconds > 0 && cost.slowness > 1 && isMeasuredSlow(cost)

const isMeasuredSlow = (cost: CandidateCost): boolean => {
  const ageMs = cost.candidate.tokenIntervalAgeMs ?? cost.candidate.reportAgeMs
  return 1 + (cost.slowness - 1) * Math.exp(ageMs / RoutingTuning.slowMemoryMs) > RoutingTuning.slowFactor
}

const withoutProbation = (costs: readonly CandidateCost[]): readonly CandidateCost[] => {
  const free = costs.filter(cost => !onProbation(cost))
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

/** Those that miss least of prefix and adapter; none when all miss the same, so that no third choice adds to a herd. */
const affine = (warm: readonly CandidateCost[]): readonly CandidateCost[] => {
  const leastMs = Math.min(...warm.map(cost => cost.affinityMs))
  const holders = warm.filter(cost => cost.affinityMs === leastMs)
  return holders.length < warm.length ? holders : []
}

/** The cheaper of a few random ones; one that holds prefix or adapter always takes part. */
const chooseWarm = (warm: readonly CandidateCost[], sampleCount: number, random: () => number): CandidateCost | undefined => {
  const drawn = sampleIndices(warm.length, sampleCount, random).flatMap(index => warm[index] ?? [])
  const holders = affine(warm)
  const holder = holders[Math.floor(random() * holders.length)]
  return leastBy(holder ? [...drawn, holder] : drawn, costOf)
}

const byReadiness = (a: CandidateCost, b: CandidateCost): number =>
  a.candidate.readyInMs - b.candidate.readyInMs ||
  a.candidate.slotIndex - b.candidate.slotIndex ||
  (a.candidate.instance < b.candidate.instance ? -1 : 1)

/**
 * The same cold slot for every router: distance and own sends differ between routers and would start a replica for
 * each of them. The next slot only when the queue of the first outgrows it.
 */
const chooseCold = (cold: readonly CandidateCost[]): CandidateCost | undefined => {
  let best: CandidateCost | undefined
  for (const next of [...cold].sort(byReadiness)) {
    if (!best || best.costMs > next.costMs * RoutingTuning.coldStartMargin) best = next
  }
  return best
}

/**
 * Makes a choice between the cheapest of `sampleCount` random warm servers (ready or
 * loading) and the quickest cold one.
 *
 * Load pattern: many routers with reports that are a second old choose at the same moment; one server may be ten
 * times slower than the rest; the model may be cold everywhere. Without it all routers send to the server that
 * looked idle in the last report, a slow server fills with callers that time out, and a burst for a cold model
 * starts every replica that it may have.
 *
 * The warm choice is random so that routers deciding alike do not herd. The cold choice is not: all routers take the
 * same slot, and their loads merge into one. A cold slot is started beside warm ones only when the queue costs more
 * than the cold start by `coldStartMargin`. A request is refused here only when no candidate gets ready in time and one
 * is loading already; whether the queue is short enough, and a cold start fast enough, is the agent's verdict. Grounds of the figures: `RoutingTuning` and `docs/decisions/table.md`.
 */
export const makeChooseLeastCost = (sampleCount: number): ChooseBackend => (request, candidates, random): RoutingChoice => {
  const { warm, cold } = shortlist(request, candidates, random)
  const warmBest = chooseWarm(warm, sampleCount, random)
  const coldBest = chooseCold(cold)
  const chosen = coldOrQueue(warmBest, coldBest)
  if (chosen && isReadyInTime(request, chosen)) return send(chosen)
  // The sample may have missed the one server that is ready in time: a refusal must hold for all that were looked at.
  const quickest = leastBy([...warm, ...cold], readinessOf)
  if (!quickest) return { kind: 'none', estimatedWaitMs: request.coldStartMs }
  if (isReadyInTime(request, quickest)) return send(quickest)
  // Guards against a model that is never loaded since it seems to load too slowly: refused here, no agent
  // hears of it. Sent on to a cold slot, it is refused there just as fast, and its load begins.
  if (warm.length === 0 && coldBest) return send(coldBest)
  return { kind: 'none', estimatedWaitMs: readinessOf(quickest) }
}

/** The choice with the number of random choices that the table speaks for. */
export const chooseLeastCost: ChooseBackend = makeChooseLeastCost(RoutingTuning.sampleCount)

const coldOrQueue = (warm: CandidateCost | undefined, cold: CandidateCost | undefined): CandidateCost | undefined => {
  if (!warm || !cold) return warm ?? cold
  return warm.costMs > cold.costMs * RoutingTuning.coldStartMargin ? cold : warm
}
