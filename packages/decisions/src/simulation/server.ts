import { noFairness } from '../queueing/pickFirstCome.js'

import { createBatch, PREFILL_TOKENS } from './batch.js'
import { SimulationConstants } from './constants.js'
import { createPendingRetryMeter } from './rateMeter.js'
import { createResidents } from './residents.js'
import { createAttemptQueue } from './attemptQueue.js'

import type { ModelId } from '@figmount/base'
import type { AdmissionVerdict } from '../admission/types.js'
import type { FairnessState, WaitingRequest } from '../queueing/types.js'
import type { Progress } from './batch.js'
import type { EventQueue } from './eventQueue.js'
import type { Attempt, Outcome, Policies, Scenario, SimulatedModel, SimulatedRequest } from './types.js'
import type { PendingAttempt } from './attemptQueue.js'
import type { Residents } from './residents.js'
import type { WeightStore } from './weightStore.js'

/** Report of one agent to the routers. */
export interface ServerReport {
  readonly takenAtMs: number
  readonly queuedSeconds: number
  /** Queued seconds at a priority and all higher ones. */
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
  /** Admits or refuses an attempt; an admitted one is answered later through `reply`. */
  readonly offer: (attempt: Attempt, reply: (outcome: Outcome) => void) => AdmissionVerdict
  readonly report: () => ServerReport
  /**
   * Starts a check whether a refusal was justified. It was not if a slot of the batch later stayed empty, with no admitted request
   * to fill it, while the refused request could still have ended in time.
   */
  readonly checkRefusal: (attempt: Attempt) => void
  /** Progress of an attempt that waits or runs here; undefined when there is none. */
  readonly progressOf: (attempt: Attempt) => Progress | undefined
  /** Cancels a running attempt without an answer. */
  readonly cancel: (attempt: Attempt) => void
  /** Fails all running and waiting attempts. */
  readonly crash: () => void
}

export interface ServerEnvironment {
  readonly events: EventQueue
  readonly store: WeightStore
  readonly policies: Policies
  readonly scenario: Scenario
  readonly random: () => number
  readonly countColdStart: () => void
  readonly recordRefusalCheck: (request: SimulatedRequest, isTrue: boolean) => void
}

const PRIORITIES: readonly number[] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]

const toWaitingRequest = (attempt: Attempt, nowMs: number): WaitingRequest => ({
  ...attempt.request,
  adapter: '',
  expectedTokens: Math.max(1, attempt.request.expectedTokens - attempt.doneTokens) + PREFILL_TOKENS,
  arrivedAtMs: nowMs,
  deadlineAtMs: attempt.deadlineAtMs
})

/** Creates server number `index` of the scenario. */
export const createServer = (index: number, environment: ServerEnvironment): SimulatedServer => {
  const { events, store, policies, scenario, random } = environment
  const specs = new Map<ModelId, SimulatedModel>(scenario.models.filter(one => one.servers.includes(index)).map(one => [one.model, one]))
  const pendingRetries = createPendingRetryMeter()
  let fairness: FairnessState = noFairness
  let refusalCount = 0

  const account = (held: PendingAttempt, tokens: number): void => {
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
      dispatch()
    }
  })
  const queue = createAttemptQueue(model => residents.isReady(model))
  const residents: Residents = createResidents(scenario.memoryMb, events, store, policies.chooseVictims, {
    running: batch.countOf,
    load: (spec, askedAtMs) => queue.loadOf(spec, askedAtMs)
  }, environment.countColdStart, () => { queue.invalidate(); dispatch() })

  const queuedCount = (): number => queue.lists().admitted.length
  const hasFreeSlot = (): boolean => batch.size() + queuedCount() < scenario.batchSlots

  const start = (held: PendingAttempt): void => {
    batch.start(held)
    residents.use(held.attempt.request.model)
    account(held, held.waiting.expectedTokens)
  }

  const retryAfterMsFor = (shortfallMs: number, attempt: Attempt): number => policies.chooseRetryAfter({
    estimatedWaitMs: shortfallMs,
    recentRefusals: pendingRetries.count(events.nowMs()),
    servedPerSecond: batch.capacityPerSecond(),
    resendCount: attempt.resendCount
  }, random)

  const shed = (): void => {
    for (const { id } of policies.shedWaiting(queue.lists().ready, batch.intervalMs(), events.nowMs())) {
      shedOne(id)
    }
  }

  const shedOne = (id: string): void => {
    const held = queue.get(id)
    if (!held) return
    queue.drop(id)
    answerShed(held)
    sampleRefusal(held.attempt)
  }

  const answerShed = (held: PendingAttempt): void => {
    const retryAfterMs = retryAfterMsFor(0, held.attempt)
    pendingRetries.add(events.nowMs() + retryAfterMs)
    held.reply({ kind: 'refused', retryAfterMs })
  }

  /** A slot stays empty, so every refusal whose request could still end in time was wrong. */
  const checkShadows = (): void => {
    for (const { waiting: { id }, attempt } of queue.lists().shadows) {
      environment.recordRefusalCheck(attempt.request, events.nowMs() + batch.actualServiceMs(attempt) > attempt.deadlineAtMs)
      queue.drop(id)
    }
  }

  const loadWanted = (): void => {
    const models = [...new Set(queue.lists().admitted.map(one => one.model))]
    const wanted = models.filter(model => residents.stateOf(model) === 'cold')
    const loads = wanted.flatMap(model => specs.get(model) ?? []).map(spec => queue.loadOf(spec, queue.oldestAtMs(spec.model)))
    for (const { model } of policies.orderLoads(loads, events.nowMs())) {
      const spec = specs.get(model)
      if (spec) residents.ensureLoading(spec)
    }
  }

  const startable = (): readonly WaitingRequest[] => policies.limitLong(queue.lists().ready, {
    batchSlots: scenario.batchSlots,
    meanTokens: batch.meanTokens(),
    running: batch.requests()
  })

  const dispatch = (): void => {
    if (batch.isDown()) return
    loadWanted()
    while (batch.size() < scenario.batchSlots) {
      shed()
      const picked = policies.pickNext(startable(), fairness, events.nowMs())
      const held = picked && queue.get(picked.id)
      if (!held) return checkShadows()
      queue.drop(picked.id)
      start(held)
    }
  }

  const expire = (id: string, held: PendingAttempt): void => {
    const wasWaiting = queue.get(id) === held
    if (wasWaiting) queue.drop(id)
    if (wasWaiting && held.isShadow) return environment.recordRefusalCheck(held.attempt.request, true)
    if (!wasWaiting && (held.isShadow || !batch.cancel(held.attempt))) return
    held.reply({ kind: 'missed' })
    dispatch()
  }

  const enqueue = (id: string, held: PendingAttempt): void => {
    queue.hold(id, held)
    events.at(held.attempt.deadlineAtMs, () => expire(id, held))
  }

  const sampleRefusal = (attempt: Attempt): void => {
    if (batch.isDown()) return environment.recordRefusalCheck(attempt.request, true)
    refusalCount += 1
    if (refusalCount % SimulationConstants.checkEveryRefusal !== 0) return
    const id = `shadow-${refusalCount}`
    const shadow = { ...toWaitingRequest(attempt, events.nowMs()), boundTokens: 0, id }
    enqueue(id, { attempt, waiting: shadow, predictedMs: 0, reply: () => {}, isShadow: true })
  }

  const tokensAhead = (attempt: Attempt): number =>
    policies.estimateAhead(queue.lists().admitted, toWaitingRequest(attempt, events.nowMs()), fairness, events.nowMs())

  const queuedSecondsOf = (requests: readonly WaitingRequest[]): number => {
    if (hasFreeSlot()) return 0
    return batch.secondsOf(requests.reduce((sum, one) => sum + one.expectedTokens, batch.remainingTokens()))
  }
  const queuedByPriority = (): (priority: number) => number => {
    const admitted = queue.lists().admitted
    const seconds = PRIORITIES.map(priority => queuedSecondsOf(admitted.filter(one => one.priority >= priority)))
    return priority => seconds[priority] ?? 0
  }

  for (const spec of specs.values()) if (spec.isWarm) residents.ensureLoading(spec)

  return {
    offer: (attempt, reply) => {
      const nowMs = events.nowMs()
      const spec = specs.get(attempt.request.model)
      if (!spec || batch.isDown()) return { kind: 'refuse', retryAfterMs: retryAfterMsFor(0, attempt), detail: 'backend server is down' }
      const secondsAhead = hasFreeSlot() ? 0 : batch.secondsOf(tokensAhead(attempt) + batch.remainingTokens())
      const verdict = policies.admit({
        remainingMs: attempt.deadlineAtMs - nowMs,
        expectedTokens: attempt.request.expectedTokens + PREFILL_TOKENS,
        boundTokens: batch.boundTokens(attempt),
        priority: attempt.request.priority,
        readyInMs: residents.readyInMs(spec),
        secondsAhead,
        tokenIntervalMs: batch.intervalMs(),
        queuedCount: queuedCount(),
        maxQueuedCount: SimulationConstants.maxQueuedCount,
        waitRatio: batch.waitRatio().mean,
        waitRatioDeviation: batch.waitRatio().deviation,
        recentRefusals: pendingRetries.count(nowMs),
        servedPerSecond: batch.capacityPerSecond(),
        resendCount: attempt.resendCount
      }, random)
      if (verdict.kind === 'refuse') {
        pendingRetries.add(nowMs + verdict.retryAfterMs)
        return verdict
      }
      enqueue(attempt.request.id, { attempt, waiting: { ...toWaitingRequest(attempt, nowMs), boundTokens: batch.boundTokens(attempt) }, predictedMs: verdict.estimatedWaitMs, reply, isShadow: false })
      dispatch()
      return verdict
    },
    checkRefusal: attempt => {
      sampleRefusal(attempt)
      dispatch()
    },
    report: () => ({
      takenAtMs: events.nowMs(),
      queuedSeconds: queuedSecondsOf(queue.lists().admitted),
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
      const isWaiting = queue.get(attempt.request.id)?.attempt === attempt
      return isWaiting ? { isRunning: false, doneTokens: 0, intervalMs: 0, firstTokenAtMs: 0 } : batch.progressOf(attempt)
    },
    cancel: attempt => {
      if (batch.cancel(attempt)) dispatch()
    },
    crash: () => {
      const all = [...queue.clear(), ...batch.clear()].filter(one => !one.isShadow)
      for (const held of all) held.reply({ kind: 'failed' })
    }
  }
}
