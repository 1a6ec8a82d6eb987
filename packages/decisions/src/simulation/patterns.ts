import { drawExponential, makeRandom } from './makeRandom.js'

import type { CallerName, ModelId } from '@figmount/base'
import type { Scenario, SimulatedModel, SimulatedRequest } from './types.js'

/** Independent arrivals of one kind of request. */
interface ArrivalProcess {
  readonly name: string
  readonly caller?: string
  readonly tenant?: string
  readonly fromMs: number
  readonly toMs: number
  readonly perSecond: number
  readonly meanTokens: number
  readonly patienceMs: number
  readonly priority?: number
  readonly model?: string
  readonly prefix?: string
  /** Number of callers that the requests are spread over when `caller` is omitted. */
  readonly callerCount?: number
}

const DEFAULT_CALLERS = 8
const WARM_MODEL = 'readers/stelae'

/** Actual lengths vary by a factor of three around the mean; the expected length is always the mean. */
const drawTokens = (mean: number, random: () => number): number => Math.max(4, Math.round(mean * (0.5 + random())))

const drawArrivals = (stream: ArrivalProcess, seed: number): readonly SimulatedRequest[] => {
  const random = makeRandom(seed)
  const requests: SimulatedRequest[] = []
  for (let atMs = stream.fromMs; ;) {
    atMs += drawExponential(1_000 / stream.perSecond, random)
    if (atMs >= stream.toMs) return requests
    const number = Math.floor(random() * (stream.callerCount ?? DEFAULT_CALLERS))
    requests.push({
      id: `${stream.name}-${requests.length}`,
      atMs,
      caller: (stream.caller ?? `${stream.name}-caller-${number}`) as CallerName,
      tenant: stream.tenant ?? 'firm-1',
      share: 1,
      model: (stream.model ?? WARM_MODEL) as ModelId,
      priority: stream.priority ?? 5,
      tokens: drawTokens(stream.meanTokens, random),
      expectedTokens: stream.meanTokens,
      patienceMs: stream.patienceMs,
      prefix: stream.prefix ?? ''
    })
  }
}

const merge = (...streams: readonly ArrivalProcess[]): readonly SimulatedRequest[] =>
  streams.flatMap((stream, index) => drawArrivals(stream, index + 11)).sort((a, b) => a.atMs - b.atMs)

const warmModel = (serverCount: number): SimulatedModel => ({
  model: WARM_MODEL as ModelId,
  memoryMb: 20_000,
  loadMs: 15_000,
  servers: Array.from({ length: serverCount }, (_, index) => index),
  isWarm: true
})

/**
 * Four servers with eight slots each. A request of 100 tokens occupies a slot for 3.3 s, so the fleet serves 9.7 of
 * them per second; the rates below are fractions and multiples of that.
 */
const SERVERS = 4
const CAPACITY_PER_SECOND = 9.7
const MINUTE_MS = 60_000
/** Time after the last arrival in which all remaining requests can be served. */
const DRAIN_MS = MINUTE_MS

const base = (name: string, durationMs: number): Omit<Scenario, 'requests'> => ({
  name,
  durationMs: durationMs + DRAIN_MS,
  serverCount: SERVERS,
  routerCount: 4,
  batchSlots: 8,
  memoryMb: 80_000,
  models: [warmModel(SERVERS)],
  disturbances: []
})

const steady = (share: number, toMs: number): ArrivalProcess =>
  ({ name: 'steady', fromMs: 0, toMs, perSecond: CAPACITY_PER_SECOND * share, meanTokens: 100, patienceMs: 30_000 })

/** A load of seven tenths of capacity, with 300 additional requests within two seconds. */
export const burst = (): Scenario => ({
  ...base('burst', 3 * MINUTE_MS),
  requests: merge(
    steady(0.7, 3 * MINUTE_MS),
    { name: 'burst', fromMs: 30_000, toMs: 32_000, perSecond: 150, meanTokens: 100, patienceMs: 30_000 }
  )
})

/** One caller of another tenant sends twice the capacity; the others need a third of it. */
export const hotCaller = (): Scenario => ({
  ...base('hot caller', 3 * MINUTE_MS),
  requests: merge(
    steady(0.35, 3 * MINUTE_MS),
    { ...steady(2, 2 * MINUTE_MS), name: 'hot', caller: 'hot', tenant: 'firm-2', fromMs: 20_000 }
  ),
  isObserved: request => request.caller !== 'hot'
})

/** Seven in ten requests share one prompt prefix, at nine tenths of capacity. */
export const hotPrefix = (): Scenario => ({
  ...base('hot prefix', 3 * MINUTE_MS),
  requests: merge(
    { ...steady(0.25, 3 * MINUTE_MS), name: 'other' },
    { ...steady(0.6, 3 * MINUTE_MS), name: 'shared', prefix: 'baseline-survey' }
  )
})

/** One server of four is ten times slower for a minute and a half; the others could carry the load. */
export const slowServer = (): Scenario => ({
  ...base('slow server', 4 * MINUTE_MS),
  requests: merge(steady(0.6, 4 * MINUTE_MS)),
  disturbances: [{ fromMs: 30_000, toMs: 120_000, server: 3, slowness: 10 }]
})

/** Sixteen routers in front of twelve servers at nine tenths of capacity; each sees only a fraction of the sends. */
export const manyRouters = (): Scenario => ({
  ...base('many routers', 2 * MINUTE_MS),
  serverCount: 12,
  routerCount: 16,
  models: [warmModel(12)],
  requests: merge({ ...steady(2.7, 2 * MINUTE_MS), meanTokens: 100 })
})

/** A few long requests among many short ones, at nine tenths of capacity. */
export const longAmongShort = (): Scenario => ({
  ...base('long among short', 4 * MINUTE_MS),
  requests: merge(
    { name: 'short', fromMs: 0, toMs: 4 * MINUTE_MS, perSecond: CAPACITY_PER_SECOND * 1.2, meanTokens: 30, patienceMs: 20_000 },
    { name: 'long', fromMs: 0, toMs: 4 * MINUTE_MS, perSecond: CAPACITY_PER_SECOND * 0.04, meanTokens: 1_200, patienceMs: 240_000 }
  ),
  isObserved: request => request.id.startsWith('short')
})

/** A multiple of the capacity for a minute in three priorities, followed by no load. */
export const overload = (factor: number): Scenario => ({
  ...base(`overload ${factor}x`, MINUTE_MS),
  requests: merge(
    { ...steady(factor * 0.2, MINUTE_MS), name: 'urgent', priority: 8, patienceMs: 15_000 },
    { ...steady(factor * 0.5, MINUTE_MS), name: 'normal', priority: 5, patienceMs: 15_000 },
    { ...steady(factor * 0.3, MINUTE_MS), name: 'review', priority: 1, patienceMs: 15_000 }
  ),
  isObserved: request => request.priority === 8
})

/**
 * All servers are down for a minute at seven tenths of capacity, while callers retry. Their patience is little more than twice
 * the service time, so work that is aborted at its deadline costs almost as much as work that is served.
 */
export const outage = (): Scenario => ({
  ...base('outage', 6 * MINUTE_MS),
  requests: merge({ ...steady(0.7, 6 * MINUTE_MS), patienceMs: 8_000 }),
  disturbances: [{ fromMs: 60_000, toMs: 120_000, slowness: Infinity }]
})

/** Low-priority and urgent requests for the same model, at one and a half times capacity. */
export const urgentReview = (): Scenario => ({
  ...base('urgent and slow', 4 * MINUTE_MS),
  requests: merge(
    { ...steady(1.4, 2 * MINUTE_MS), name: 'slow', caller: 'fleet', priority: 1, patienceMs: 200_000 },
    { ...steady(0.1, 2 * MINUTE_MS), name: 'urgent', caller: 'safety', priority: 8, patienceMs: 10_000 }
  ),
  isObserved: request => request.priority === 8
})

const coldModel = (name: string, servers: readonly number[]): SimulatedModel =>
  ({ model: name as ModelId, memoryMb: 30_000, loadMs: 15_000, servers, isWarm: false })

/** A cold model with four slots gets 24 requests within a second through all routers. */
export const coldBurst = (): Scenario => ({
  ...base('cold burst', 2 * MINUTE_MS),
  models: [warmModel(SERVERS), coldModel('readers/rock-churches', [0, 1, 2, 3])],
  requests: merge(
    steady(0.4, 2 * MINUTE_MS),
    { name: 'cold', model: 'readers/rock-churches', fromMs: 20_000, toMs: 21_000, perSecond: 24, meanTokens: 60, patienceMs: 60_000 }
  ),
  isObserved: request => request.id.startsWith('cold')
})

/** Twenty cold models are requested at once, one of them by forty callers and the others by one each. */
export const manyColdModels = (): Scenario => {
  const names = Array.from({ length: 20 }, (_, index) => `readers/model-${index}`)
  const popular = names[13]!
  return {
    ...base('wake-up', 3 * MINUTE_MS),
    models: names.map((name, index) => coldModel(name, [index % SERVERS])),
    requests: merge(
      ...names.map((name): ArrivalProcess => ({ name, model: name, fromMs: 10_000, toMs: 12_000, perSecond: 1, meanTokens: 60, patienceMs: 170_000 })),
      { name: 'popular', model: popular, fromMs: 12_000, toMs: 14_000, perSecond: 20, meanTokens: 60, patienceMs: 170_000 }
    )
  }
}

/** All load patterns of the decision table. */
export const allPatterns = (): readonly Scenario[] => [
  burst(), hotCaller(), hotPrefix(), slowServer(), manyRouters(), longAmongShort(), urgentReview(),
  overload(1.5), overload(3), overload(10), outage(), coldBurst(), manyColdModels()
]
