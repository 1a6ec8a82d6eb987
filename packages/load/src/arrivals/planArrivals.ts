import { createRandom } from './createRandom.js'
import { ArrivalKind } from '../experiment/types.js'

import type { Experiment, TrafficPlan } from '../experiment/types.js'
import type { PlannedRequest } from './types.js'

const MS_PER_SECOND = 1000
/** Distance between the seeds of the traffic sections, so that adding a section at the end leaves the others' arrivals unchanged. */
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

/** Cumulative probabilities of choosing each of `count` items under a Zipf distribution. */
const cumulativeZipfShares = (count: number, exponent: number): readonly number[] => {
  const weights = Array.from({ length: count }, (_, index) => (index + 1) ** -exponent)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  let cumulative = 0
  return weights.map(weight => {
    cumulative += weight / total
    return cumulative
  })
}

const pickByShare = (shares: readonly number[], random: Random): number => {
  const draw = random()
  const index = shares.findIndex(share => draw < share)
  return index === -1 ? shares.length - 1 : index
}

const pickAdapter = (traffic: TrafficPlan, random: Random): string =>
  traffic.adapters[Math.floor(random() * traffic.adapters.length)] ?? ''

const pickPrefix = (traffic: TrafficPlan, random: Random): string =>
  traffic.prefixCount === 0 ? '' : `${traffic.name}-prefix-${Math.floor(random() * traffic.prefixCount)}`

const makePrompt = (traffic: TrafficPlan, number: number): string =>
  `${traffic.name} request ${number} `.padEnd(traffic.promptLength, '.')

const planTraffic = (traffic: TrafficPlan, random: Random): ReadonlyArray<Omit<PlannedRequest, 'index'>> => {
  const shares = cumulativeZipfShares(traffic.models.length, traffic.zipfExponent)
  return arrivalTimes(traffic, random).map((atMs, number) => ({
    traffic,
    atMs,
    model: traffic.models[pickByShare(shares, random)] ?? '',
    adapter: pickAdapter(traffic, random),
    prefixHint: pickPrefix(traffic, random),
    prompt: makePrompt(traffic, number)
  }))
}

/** Plans all requests of an experiment, in order of time; the same seed gives the same plan. */
export const planArrivals = (experiment: Experiment): readonly PlannedRequest[] =>
  experiment.traffic
    .flatMap((traffic, position) => planTraffic(traffic, createRandom(experiment.seed + position * SEED_STRIDE)))
    .sort((a, b) => a.atMs - b.atMs)
    .map((request, index) => ({ ...request, index }))
