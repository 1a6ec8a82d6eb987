import { createRandom } from './createRandom.js'
import { ArrivalKind } from '../experiment/types.js'

import type { Experiment, TrafficPlan } from '../experiment/types.js'
import type { PlannedRequest } from './types.js'

const MS_PER_SECOND = 1000
/** Spreads the seeds of the kinds of traffic, so that adding one leaves the others' arrivals unchanged. */
const SEED_STRIDE = 7919

type Random = () => number

const poissonTimes = (traffic: TrafficPlan, random: Random): readonly number[] => {
  const times: number[] = []
  const meanGapMs = MS_PER_SECOND / traffic.ratePerSecond
  let atMs = traffic.fromMs
  while (true) {
    atMs += -Math.log(1 - random()) * meanGapMs
    if (atMs >= traffic.untilMs) return times
    times.push(atMs)
  }
}

const steadyTimes = (traffic: TrafficPlan): readonly number[] => {
  const times: number[] = []
  const gapMs = MS_PER_SECOND / traffic.ratePerSecond
  for (let atMs = traffic.fromMs; atMs < traffic.untilMs; atMs += gapMs) times.push(atMs)
  return times
}

const burstTimes = (traffic: TrafficPlan): readonly number[] => {
  const times: number[] = []
  for (let atMs = traffic.fromMs; atMs < traffic.untilMs; atMs += traffic.burstEveryMs) {
    for (let count = 0; count < traffic.burstSize; count++) times.push(atMs)
    if (traffic.burstEveryMs === 0) return times
  }
  return times
}

const arrivalTimes = (traffic: TrafficPlan, random: Random): readonly number[] => {
  switch (traffic.arrivals) {
    case ArrivalKind.Poisson: return poissonTimes(traffic, random)
    case ArrivalKind.Steady: return steadyTimes(traffic)
    case ArrivalKind.Burst: return burstTimes(traffic)
    default: return traffic.arrivals satisfies never
  }
}

/** Cumulative shares by which the n-th of `count` things is chosen under a Zipf law. */
const zipfShares = (count: number, exponent: number): readonly number[] => {
  const weights = Array.from({ length: count }, (_, index) => (index + 1) ** -exponent)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  let reached = 0
  return weights.map(weight => {
    reached += weight / total
    return reached
  })
}

const pickByShare = (shares: readonly number[], random: Random): number => {
  const drawn = random()
  const index = shares.findIndex(share => drawn < share)
  return index === -1 ? shares.length - 1 : index
}

const pickAdapter = (traffic: TrafficPlan, random: Random): string =>
  traffic.adapters[Math.floor(random() * traffic.adapters.length)] ?? ''

const pickPrefix = (traffic: TrafficPlan, random: Random): string =>
  traffic.prefixCount === 0 ? '' : `${traffic.name}-prefix-${Math.floor(random() * traffic.prefixCount)}`

const makePrompt = (traffic: TrafficPlan, number: number): string =>
  `${traffic.name} request ${number} `.padEnd(traffic.promptLength, '.')

const planTraffic = (traffic: TrafficPlan, random: Random): ReadonlyArray<Omit<PlannedRequest, 'index'>> => {
  const shares = zipfShares(traffic.models.length, traffic.zipfExponent)
  return arrivalTimes(traffic, random).map((atMs, number) => ({
    traffic,
    atMs,
    model: traffic.models[pickByShare(shares, random)] ?? '',
    adapter: pickAdapter(traffic, random),
    prefixHint: pickPrefix(traffic, random),
    prompt: makePrompt(traffic, number)
  }))
}

/** All requests of an experiment in order of time; the same seed plans the same requests. */
export const planArrivals = (experiment: Experiment): readonly PlannedRequest[] =>
  experiment.traffic
    .flatMap((traffic, position) => planTraffic(traffic, createRandom(experiment.seed + position * SEED_STRIDE)))
    .sort((a, b) => a.atMs - b.atMs)
    .map((request, index) => ({ ...request, index }))
