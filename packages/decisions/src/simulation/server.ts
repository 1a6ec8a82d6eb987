import { noFairness } from '../queueing/pickFirstCome.js'

import { createBatch, PREFILL_TOKENS } from './batch.js'
import { SimulationFacts } from './constants.js'
import { createPromiseMeter } from './rateMeter.js'
import { createResidents } from './residents.js'
import { createWaitingRoom } from './waitingRoom.js'

import type { ModelId } from '@figmount/base'
import type { AdmissionVerdict } from '../admission/types.js'
import type { FairnessState, WaitingRequest } from '../queueing/types.js'
import type { Progress } from './batch.js'
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
  /** How far an attempt that runs here has come; undefined when it does not. */
  readonly progressOf: (attempt: Attempt) => Progress | undefined
  /** Cancels a running attempt without an answer. */
  readonly withdraw: (attempt: Attempt) => void
  /** Ends all that runs and waits. */
  readonly goDown: () => void
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

const PRIORITIES: readonly number[] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]

const asWaiting = (attempt: Attempt, nowMs: number): WaitingRequest => ({
  ...attempt.request,
  adapter: '',
  expectedTokens: Math.max(1, attempt.request.expectedTokens - attempt.doneTokens) + PREFILL_TOKENS,
  arrivedAtMs: nowMs,
  deadlineAtMs: attempt.deadlineAtMs
})

/** Makes server number `index` of the scenario. */
export const createServer = (index: number, environment: ServerEnvironment): SimulatedServer => {
  const { events, store, policies, scenario, random } = environment
  const specs = new Map<ModelId, SimulatedModel>(scenario.models.filter(one => one.servers.includes(index)).map(one => [one.model, one]))
  const promises = createPromiseMeter()
  let fairness: FairnessState = noFairness
  let refusalCount = 0

  const account = (held: Held, tokens: number): void => {
    fairness = policies.accountServed(fairness, held.waiting, tokens, events.nowMs())
  }

  const batch = createBatch({
    index,
    events,
    scenario,
    onServed: (held, firstTokenAtMs) => {
      const madeTokens = held.attempt.request.tokens - held.attempt.doneTokens + PREFILL_TOKENS
      account(held, madeTokens - held.waiting.expectedTokens)
      held.reply({ kind: 'served', firstTokenAtMs })
      pump()
    }
  })
  const room = createWaitingRoom(model => residents.isReady(model))
  const residents: Residents = createResidents(scenario.memoryMb, events, store, policies.chooseVictims, {
    running: batch.countOf,
    load: (spec, askedAtMs) => room.loadOf(spec, askedAtMs)
  }, environment.countColdStart, () => { room.modelsChanged(); pump() })

  const queuedCount = (): number => room.lists().real.length
  const hasFreePlace = (): boolean => batch.size() + queuedCount() < scenario.batchSlots

  const start = (held: Held): void => {
    batch.start(held)
    residents.use(held.attempt.request.model)
    account(held, held.waiting.expectedTokens)
  }

  const refuse = (lackMs: number, attempt: Attempt): number => policies.chooseRetryAfter({
    estimatedWaitMs: lackMs,
    recentRefusals: promises.outstanding(events.nowMs()),
    servedPerSecond: batch.capacityPerSecond(),
    resendCount: attempt.resendCount
  }, random)

  const shed = (): void => {
    for (const { id } of policies.shedWaiting(room.lists().ready, batch.intervalMs(), events.nowMs())) {
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
      environment.judgeRefusal(attempt.request, events.nowMs() + batch.trueServiceMs(attempt) > attempt.deadlineAtMs)
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
    meanTokens: batch.meanTokens(),
    running: batch.requests()
  })

  const pump = (): void => {
    if (batch.isDown()) return
    loadWanted()
    while (batch.size() < scenario.batchSlots) {
      shed()
      const picked = policies.pickNext(startable(), fairness, events.nowMs())
      const held = picked && room.get(picked.id)
      if (!held) return judgeShadows()
      room.drop(picked.id)
      start(held)
    }
  }

  const expire = (id: string, held: Held): void => {
    const wasWaiting = room.get(id) === held
    if (wasWaiting) room.drop(id)
    if (wasWaiting && held.isShadow) return environment.judgeRefusal(held.attempt.request, true)
    if (!wasWaiting && (held.isShadow || !batch.cancel(held.attempt))) return
    held.reply({ kind: 'missed' })
    pump()
  }

  const enqueue = (id: string, held: Held): void => {
    room.hold(id, held)
    events.at(held.attempt.deadlineAtMs, () => expire(id, held))
  }

  const check = (attempt: Attempt): void => {
    if (batch.isDown()) return environment.judgeRefusal(attempt.request, true)
    refusalCount += 1
    if (refusalCount % SimulationFacts.checkEveryRefusal !== 0) return
    const id = `shadow-${refusalCount}`
    const shadow = { ...asWaiting(attempt, events.nowMs()), boundTokens: 0, id }
    enqueue(id, { attempt, waiting: shadow, predictedMs: 0, reply: () => {}, isShadow: true })
  }

  const ahead = (attempt: Attempt): number =>
    policies.estimateAhead(room.lists().real, asWaiting(attempt, events.nowMs()), fairness, events.nowMs())

  const queuedSecondsOf = (requests: readonly WaitingRequest[]): number => {
    if (hasFreePlace()) return 0
    return batch.secondsOf(requests.reduce((sum, one) => sum + one.expectedTokens, batch.leftTokens()))
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
      if (!spec || batch.isDown()) return { kind: 'refuse', retryAfterMs: refuse(0, attempt), detail: 'backend server is down' }
      const secondsAhead = hasFreePlace() ? 0 : batch.secondsOf(ahead(attempt) + batch.leftTokens())
      const verdict = policies.admit({
        remainingMs: attempt.deadlineAtMs - nowMs,
        expectedTokens: attempt.request.expectedTokens + PREFILL_TOKENS,
        boundTokens: batch.boundTokens(attempt),
        priority: attempt.request.priority,
        readyInMs: residents.readyInMs(spec),
        secondsAhead,
        tokenIntervalMs: batch.intervalMs(),
        queuedCount: queuedCount(),
        maxQueuedCount: SimulationFacts.maxQueuedCount,
        waitRatio: batch.waitRatio().mean,
        waitRatioDeviation: batch.waitRatio().deviation,
        recentRefusals: promises.outstanding(nowMs),
        servedPerSecond: batch.capacityPerSecond(),
        resendCount: attempt.resendCount
      }, random)
      if (verdict.kind === 'refuse') {
        promises.promise(nowMs + verdict.retryAfterMs)
        return verdict
      }
      enqueue(attempt.request.id, { attempt, waiting: { ...asWaiting(attempt, nowMs), boundTokens: batch.boundTokens(attempt) }, predictedMs: verdict.estimatedWaitMs, reply, isShadow: false })
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
      batchSize: batch.size(),
      tokenIntervalMs: batch.intervalMs(),
      tokenAtMs: batch.tokenAtMs(),
      isDown: batch.isDown(),
      prefixes: batch.prefixes(),
      stateOf: new Map([...specs.keys()].map(model => [model, residents.stateOf(model)])),
      readyInMs: new Map([...specs.values()].map(spec => [spec.model, residents.readyInMs(spec)]))
    }),
    progressOf: attempt => {
      const isWaiting = room.get(attempt.request.id)?.attempt === attempt
      return isWaiting ? { isRunning: false, doneTokens: 0, intervalMs: 0, firstTokenAtMs: 0 } : batch.progressOf(attempt)
    },
    withdraw: attempt => {
      if (batch.cancel(attempt)) pump()
    },
    goDown: () => {
      const all = [...room.clear(), ...batch.clear()].filter(one => !one.isShadow)
      for (const held of all) held.reply({ kind: 'failed' })
    }
  }
}
