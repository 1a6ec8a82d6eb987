import { guess, guessModel, observe, observeWait, upperBound } from '../estimates/observe.js'
import { noFairness } from '../queueing/pickFirstCome.js'

import { SimulationFacts } from './constants.js'
import { createPromiseMeter } from './rateMeter.js'
import { createResidents } from './residents.js'
import { createWaitingRoom } from './waitingRoom.js'

import type { ModelId } from '@figmount/base'
import type { AdmissionVerdict } from '../admission/types.js'
import type { Estimate, ModelEstimates } from '../estimates/types.js'
import type { FairnessState, WaitingRequest } from '../queueing/types.js'
import type { EventQueue } from './eventQueue.js'
import type { Attempt, Outcome, Policies, Scenario, SimulatedModel, SimulatedRequest } from './types.js'
import type { Held } from './waitingRoom.js'
import type { Residents } from './residents.js'
import type { WeightStore } from './weightStore.js'

/** What one agent reports to the routers. */
export interface ServerReport {
  readonly takenAtMs: number
  readonly queuedSeconds: number
  /** The same, of a priority and all above it. */
  readonly queuedSecondsFrom: (priority: number) => number
  readonly batchSize: number
  readonly tokenIntervalMs: number
  readonly tokenAtMs: number
  readonly isDown: boolean
  readonly prefixes: ReadonlySet<string>
  readonly stateOf: ReadonlyMap<ModelId, 'cold' | 'loading' | 'ready'>
  readonly readyInMs: ReadonlyMap<ModelId, number>
}

/** A simulated backend server with its agent. */
export interface SimulatedServer {
  /** Admits or refuses; an admitted attempt is answered through `reply` later. */
  readonly offer: (attempt: Attempt, reply: (outcome: Outcome) => void) => AdmissionVerdict
  readonly report: () => ServerReport
  /**
   * Finds out whether a refusal was true. It was false when a place of the batch stood empty, with nobody admitted to
   * take it, while the refused request could still have ended in time.
   */
  readonly checkRefusal: (attempt: Attempt) => void
  /** Ends all that runs and waits. */
  readonly goDown: () => void
}

interface Running extends Held {
  readonly startedAtMs: number
  readonly firstTokenAtMs: number
  readonly intervalMs: number
}

export interface ServerEnvironment {
  readonly events: EventQueue
  readonly store: WeightStore
  readonly policies: Policies
  readonly scenario: Scenario
  readonly random: () => number
  readonly countColdStart: () => void
  readonly judgeRefusal: (request: SimulatedRequest, isTrue: boolean) => void
}

/** The prompt's work, as the tokens that take as long. */
const PREFILL_TOKENS = SimulationFacts.prefillMs / SimulationFacts.tokenIntervalMs

const PRIORITIES: readonly number[] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]

const asWaiting = (attempt: Attempt, nowMs: number): WaitingRequest => ({
  ...attempt.request,
  adapter: '',
  expectedTokens: attempt.request.expectedTokens + PREFILL_TOKENS,
  arrivedAtMs: nowMs,
  deadlineAtMs: attempt.deadlineAtMs
})

/** Makes server number `index` of the scenario. */
export const createServer = (index: number, environment: ServerEnvironment): SimulatedServer => {
  const { events, store, policies, scenario, random } = environment
  const specs = new Map<ModelId, SimulatedModel>(scenario.models.filter(one => one.servers.includes(index)).map(one => [one.model, one]))
  const running = new Map<string, Running>()
  const promises = createPromiseMeter()
  let prefixes: readonly string[] = []
  let fairness: FairnessState = noFairness
  let interval: Estimate = guess(SimulationFacts.tokenIntervalMs)
  let tokenAtMs = 0
  let refusalCount = 0
  /** Observed over expected tokens. */
  let lengthRatio: Estimate = { mean: 1, deviation: 0, observedCount: 0 }
  let waits: ModelEstimates = guessModel(0, 0, 0)

  const slowness = (): number => {
    const nowMs = events.nowMs()
    const hits = scenario.disturbances.filter(one => one.fromMs <= nowMs && nowMs < one.toMs && (one.server ?? index) === index)
    return Math.max(1, ...hits.map(hit => hit.slowness))
  }
  const isDown = (): boolean => slowness() === Infinity

  const room = createWaitingRoom(model => residents.isReady(model))
  const residents: Residents = createResidents(scenario.memoryMb, events, store, policies.chooseVictims, {
    running: model => [...running.values()].filter(one => one.waiting.model === model).length,
    load: (spec, askedAtMs) => room.loadOf(spec, askedAtMs)
  }, environment.countColdStart, () => { room.modelsChanged(); pump() })

  /** What streams that run now measure; the smoothed past when none has come far enough. */
  const intervalMs = (): number => {
    const measured = [...running.values()].filter(one => events.nowMs() > one.firstTokenAtMs + one.intervalMs)
    if (measured.length === 0) return interval.mean
    return measured.reduce((sum, one) => sum + one.intervalMs, 0) / measured.length
  }

  const tokensLeft = (one: Running, tokens: number): number => {
    const doneTokens = Math.max(0, events.nowMs() - one.firstTokenAtMs) / one.intervalMs
    return Math.max(0, tokens - doneTokens)
  }
  const secondsOf = (tokens: number, tokenMs: number): number => tokens * tokenMs / scenario.batchSlots / 1_000
  const runningTokens = (): number => [...running.values()].reduce((sum, one) => sum + tokensLeft(one, one.waiting.expectedTokens), 0)
  const queuedCount = (): number => room.lists().real.length

  const finish = (one: Running): void => {
    if (!running.delete(one.waiting.id)) return
    interval = observe(interval, one.intervalMs)
    tokenAtMs = events.nowMs()
    lengthRatio = observe(lengthRatio, one.attempt.request.tokens / one.attempt.request.expectedTokens)
    fairness = policies.accountServed(fairness, one.waiting, one.attempt.request.tokens + PREFILL_TOKENS - one.waiting.expectedTokens, events.nowMs())
    one.reply({ kind: 'served', firstTokenAtMs: one.firstTokenAtMs })
    pump()
  }

  const cachePrefix = (prefix: string): void => {
    if (prefix === '') return
    prefixes = [prefix, ...prefixes.filter(one => one !== prefix)].slice(0, SimulationFacts.prefixesPerServer)
  }

  const start = (held: Held): void => {
    const nowMs = events.nowMs()
    const { request } = held.attempt
    const factor = slowness()
    const prefillMs = prefixes.includes(request.prefix) ? SimulationFacts.cachedPrefillMs : SimulationFacts.prefillMs
    const intervalMs = SimulationFacts.tokenIntervalMs * factor
    const firstTokenAtMs = nowMs + prefillMs * factor
    const one: Running = { ...held, startedAtMs: nowMs, firstTokenAtMs, intervalMs }
    waits = observeWait({ ...waits, tokens: observe(waits.tokens, held.waiting.expectedTokens) }, held.predictedMs, nowMs - held.waiting.arrivedAtMs)
    running.set(request.id, one)
    cachePrefix(request.prefix)
    residents.use(request.model)
    fairness = policies.accountServed(fairness, held.waiting, held.waiting.expectedTokens, nowMs)
    // An interval shows after some tokens, not only when the request ends.
    events.at(firstTokenAtMs + intervalMs * 8, () => {
      if (running.get(request.id) !== one) return
      interval = observe(interval, intervalMs)
      tokenAtMs = events.nowMs()
    })
    events.at(firstTokenAtMs + request.tokens * intervalMs, () => finish(one))
  }

  const boundTokens = (attempt: Attempt): number => attempt.request.expectedTokens * upperBound(lengthRatio) + PREFILL_TOKENS
  const capacityPerSecond = (): number => waits.tokens.observedCount === 0 ? 0 : 1 / secondsOf(waits.tokens.mean, intervalMs())

  const refuse = (lackMs: number, attempt: Attempt): number => policies.chooseRetryAfter({
    estimatedWaitMs: lackMs,
    recentRefusals: promises.outstanding(events.nowMs()),
    servedPerSecond: capacityPerSecond(),
    resendCount: attempt.resendCount
  }, random)

  const shed = (): void => {
    for (const { id } of policies.shedWaiting(room.lists().ready, intervalMs(), events.nowMs())) {
      giveUp(id)
    }
  }

  const giveUp = (id: string): void => {
    const held = room.get(id)
    if (!held) return
    room.drop(id)
    answerShed(held)
    check(held.attempt)
  }

  const answerShed = (held: Held): void => {
    const retryAfterMs = refuse(0, held.attempt)
    promises.promise(events.nowMs() + retryAfterMs)
    held.reply({ kind: 'refused', retryAfterMs })
  }

  /** A place stays empty: whoever was refused and could still end in time was refused wrongly. */
  const judgeShadows = (): void => {
    for (const { waiting: { id }, attempt } of room.lists().shadows) {
      const serviceMs = (SimulationFacts.prefillMs + attempt.request.tokens * SimulationFacts.tokenIntervalMs) * slowness()
      environment.judgeRefusal(attempt.request, events.nowMs() + serviceMs > attempt.deadlineAtMs)
      room.drop(id)
    }
  }

  const loadWanted = (): void => {
    const models = [...new Set(room.lists().real.map(one => one.model))]
    const wanted = models.filter(model => residents.stateOf(model) === 'cold')
    const loads = wanted.flatMap(model => specs.get(model) ?? []).map(spec => room.loadOf(spec, room.oldestAtMs(spec.model)))
    for (const { model } of policies.orderLoads(loads, events.nowMs())) {
      const spec = specs.get(model)
      if (spec) residents.ensure(spec)
    }
  }

  const startable = (): readonly WaitingRequest[] => policies.limitLong(room.lists().ready, {
    batchSlots: scenario.batchSlots,
    meanTokens: waits.tokens.mean,
    running: [...running.values()].map(one => one.waiting)
  })

  const pump = (): void => {
    if (isDown()) return
    loadWanted()
    while (running.size < scenario.batchSlots) {
      shed()
      const picked = policies.pickNext(startable(), fairness, events.nowMs())
      const held = picked && room.get(picked.id)
      if (!held) return judgeShadows()
      room.drop(picked.id)
      start(held)
    }
  }

  const expire = (id: string, held: Held): void => {
    if (room.get(id) !== held && running.get(id)?.attempt !== held.attempt) return
    room.drop(id)
    if (held.isShadow) return environment.judgeRefusal(held.attempt.request, true)
    running.delete(id)
    held.reply({ kind: 'missed' })
    pump()
  }

  const enqueue = (id: string, held: Held): void => {
    room.hold(id, held)
    events.at(held.attempt.deadlineAtMs, () => expire(id, held))
  }

  const check = (attempt: Attempt): void => {
    if (isDown()) return environment.judgeRefusal(attempt.request, true)
    refusalCount += 1
    if (refusalCount % SimulationFacts.checkEveryRefusal !== 0) return
    const id = `shadow-${refusalCount}`
    const shadow = { ...asWaiting(attempt, events.nowMs()), boundTokens: 0, id }
    enqueue(id, { attempt, waiting: shadow, predictedMs: 0, reply: () => {}, isShadow: true })
  }

  const ahead = (attempt: Attempt): number =>
    policies.estimateAhead(room.lists().real, asWaiting(attempt, events.nowMs()), fairness, events.nowMs())

  const queuedSecondsOf = (requests: readonly WaitingRequest[]): number => {
    if (running.size + queuedCount() < scenario.batchSlots) return 0
    return secondsOf(requests.reduce((sum, one) => sum + one.expectedTokens, runningTokens()), intervalMs())
  }
  const queuedByPriority = (): (priority: number) => number => {
    const real = room.lists().real
    const seconds = PRIORITIES.map(priority => queuedSecondsOf(real.filter(one => one.priority >= priority)))
    return priority => seconds[priority] ?? 0
  }

  for (const spec of specs.values()) if (spec.isWarm) residents.ensure(spec)

  return {
    offer: (attempt, reply) => {
      const nowMs = events.nowMs()
      const spec = specs.get(attempt.request.model)
      if (!spec || isDown()) return { kind: 'refuse', retryAfterMs: refuse(0, attempt), detail: 'backend server is down' }
      const freeSlots = scenario.batchSlots - running.size - queuedCount()
      const secondsAhead = freeSlots > 0 ? 0 : secondsOf(ahead(attempt) + runningTokens(), intervalMs())
      const verdict = policies.admit({
        remainingMs: attempt.deadlineAtMs - nowMs,
        expectedTokens: attempt.request.expectedTokens + PREFILL_TOKENS,
        boundTokens: boundTokens(attempt),
        priority: attempt.request.priority,
        readyInMs: residents.readyInMs(spec),
        secondsAhead,
        tokenIntervalMs: intervalMs(),
        queuedCount: queuedCount(),
        maxQueuedCount: SimulationFacts.maxQueuedCount,
        waitRatio: waits.waitRatio.mean,
        waitRatioDeviation: waits.waitRatio.deviation,
        recentRefusals: promises.outstanding(nowMs),
        servedPerSecond: capacityPerSecond(),
        resendCount: attempt.resendCount
      }, random)
      if (verdict.kind === 'refuse') {
        promises.promise(nowMs + verdict.retryAfterMs)
        return verdict
      }
      enqueue(attempt.request.id, { attempt, waiting: { ...asWaiting(attempt, nowMs), boundTokens: boundTokens(attempt) }, predictedMs: verdict.estimatedWaitMs, reply, isShadow: false })
      pump()
      return verdict
    },
    checkRefusal: attempt => {
      check(attempt)
      pump()
    },
    report: () => ({
      takenAtMs: events.nowMs(),
      queuedSeconds: queuedSecondsOf(room.lists().real),
      queuedSecondsFrom: queuedByPriority(),
      batchSize: running.size,
      tokenIntervalMs: intervalMs(),
      tokenAtMs: running.size > 0 ? events.nowMs() : tokenAtMs,
      isDown: isDown(),
      prefixes: new Set(prefixes),
      stateOf: new Map([...specs.keys()].map(model => [model, residents.stateOf(model)])),
      readyInMs: new Map([...specs.values()].map(spec => [spec.model, residents.readyInMs(spec)]))
    }),
    goDown: () => {
      const all = [...room.clear(), ...running.values()].filter(one => !one.isShadow)
      running.clear()
      for (const held of all) held.reply({ kind: 'failed' })
    }
  }
}
