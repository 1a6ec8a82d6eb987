import { initialEstimate, initialModelEstimates, observe, observeWait, upperBound } from '../estimates/observe.js'

import { SimulationConstants } from './constants.js'

import type { ModelId } from '@figmount/base'
import type { Estimate, ModelEstimates } from '../estimates/types.js'
import type { WaitingRequest } from '../queueing/types.js'
import type { EventQueue } from './eventQueue.js'
import type { Attempt, Scenario } from './types.js'
import type { PendingAttempt } from './attemptQueue.js'

/** Progress of an attempt on a server. */
export interface Progress {
  readonly isRunning: boolean
  readonly doneTokens: number
  readonly intervalMs: number
  readonly firstTokenAtMs: number
}

interface Running extends PendingAttempt {
  readonly firstTokenAtMs: number
  readonly intervalMs: number
}

/** Requests that a simulated engine runs, and what its agent has measured. */
export interface Batch {
  readonly size: () => number
  readonly requests: () => readonly WaitingRequest[]
  readonly countOf: (model: ModelId) => number
  readonly start: (held: PendingAttempt) => void
  /** Ends an attempt without an answer; false when it is not running here. */
  readonly cancel: (attempt: Attempt) => boolean
  readonly clear: () => readonly PendingAttempt[]
  readonly progressOf: (attempt: Attempt) => Progress | undefined
  readonly isDown: () => boolean
  /** Actual duration of a request at the current speed, including the prompt. */
  readonly actualServiceMs: (attempt: Attempt) => number
  readonly intervalMs: () => number
  readonly tokenAtMs: () => number
  /** Expected tokens that running requests have yet to generate. */
  readonly remainingTokens: () => number
  /** Time in which the whole batch generates this many tokens. */
  readonly secondsOf: (tokens: number) => number
  /** Requests per second that can be served; 0 when unknown. */
  readonly capacityPerSecond: () => number
  readonly boundTokens: (attempt: Attempt) => number
  readonly meanTokens: () => number
  readonly waitRatio: () => Estimate
  readonly prefixes: () => ReadonlySet<string>
}

export interface BatchEnvironment {
  readonly index: number
  readonly events: EventQueue
  readonly scenario: Scenario
  /** Called when a request has generated its last token. */
  readonly onServed: (held: PendingAttempt, firstTokenAtMs: number) => void
}

/** Cost of a prompt, as the number of tokens that take as long. */
export const PREFILL_TOKENS = SimulationConstants.prefillMs / SimulationConstants.tokenIntervalMs

/** Number of tokens after which a stream's token interval is measured. */
const MEASURED_TOKENS = 8

/** Creates an empty batch. */
export const createBatch = ({ index, events, scenario, onServed }: BatchEnvironment): Batch => {
  const running = new Map<string, Running>()
  let prefixes: readonly string[] = []
  let interval: Estimate = initialEstimate(SimulationConstants.tokenIntervalMs)
  let tokenAtMs = 0
  /** Ratio of generated to expected tokens. */
  let lengthRatio: Estimate = { mean: 1, deviation: 0, observedCount: 0 }
  let model: ModelEstimates = initialModelEstimates(0, 0, 0)

  const slowness = (): number => {
    const nowMs = events.nowMs()
    const active = scenario.disturbances.filter(one => one.fromMs <= nowMs && nowMs < one.toMs && (one.server ?? index) === index)
    return Math.max(1, ...active.map(hit => hit.slowness))
  }

  /** Mean interval of the running streams that have one; otherwise the smoothed interval of the past. */
  const intervalMs = (): number => {
    const measured = [...running.values()].filter(one => events.nowMs() > one.firstTokenAtMs + one.intervalMs)
    if (measured.length === 0) return interval.mean
    return measured.reduce((sum, one) => sum + one.intervalMs, 0) / measured.length
  }

  const observeInterval = (one: Running): void => {
    interval = observe(interval, one.intervalMs)
    tokenAtMs = events.nowMs()
  }

  const generatedTokens = (one: Running): number => Math.max(0, events.nowMs() - one.firstTokenAtMs) / one.intervalMs
  const secondsOf = (tokens: number): number => tokens * intervalMs() / scenario.batchSlots / 1_000

  const cachePrefix = (prefix: string): void => {
    if (prefix === '') return
    prefixes = [prefix, ...prefixes.filter(one => one !== prefix)].slice(0, SimulationConstants.prefixesPerServer)
  }

  const finish = (one: Running): void => {
    if (!running.delete(one.waiting.id)) return
    observeInterval(one)
    const { request, firstTokenAtMs } = one.attempt
    lengthRatio = observe(lengthRatio, request.tokens / request.expectedTokens)
    onServed(one, firstTokenAtMs ?? one.firstTokenAtMs)
  }

  const observeStart = (held: PendingAttempt): void => {
    const tokens = observe(model.tokens, held.waiting.expectedTokens)
    model = observeWait({ ...model, tokens }, held.predictedMs, events.nowMs() - held.waiting.arrivedAtMs)
  }

  return {
    size: () => running.size,
    requests: () => [...running.values()].map(one => one.waiting),
    countOf: wanted => [...running.values()].filter(one => one.waiting.model === wanted).length,
    start: held => {
      const { request, doneTokens } = held.attempt
      const factor = slowness()
      const prefillMs = prefixes.includes(request.prefix) ? SimulationConstants.cachedPrefillMs : SimulationConstants.prefillMs
      const one: Running = { ...held, firstTokenAtMs: events.nowMs() + prefillMs * factor, intervalMs: SimulationConstants.tokenIntervalMs * factor }
      observeStart(held)
      running.set(request.id, one)
      cachePrefix(request.prefix)
      events.at(one.firstTokenAtMs + one.intervalMs * MEASURED_TOKENS, () => {
        if (running.get(request.id) === one) observeInterval(one)
      })
      events.at(one.firstTokenAtMs + (request.tokens - doneTokens) * one.intervalMs, () => finish(one))
    },
    cancel: attempt => {
      const one = running.get(attempt.request.id)
      if (one?.attempt !== attempt) return false
      running.delete(attempt.request.id)
      observeInterval(one)
      return true
    },
    clear: () => {
      const all = [...running.values()]
      running.clear()
      return all
    },
    progressOf: attempt => {
      const one = running.get(attempt.request.id)
      if (one?.attempt !== attempt) return undefined
      return {
        isRunning: true,
        doneTokens: attempt.doneTokens + Math.floor(generatedTokens(one)),
        intervalMs: one.intervalMs,
        firstTokenAtMs: attempt.firstTokenAtMs ?? one.firstTokenAtMs
      }
    },
    isDown: () => slowness() === Infinity,
    actualServiceMs: ({ request }) => (SimulationConstants.prefillMs + request.tokens * SimulationConstants.tokenIntervalMs) * slowness(),
    intervalMs,
    tokenAtMs: () => running.size > 0 ? events.nowMs() : tokenAtMs,
    remainingTokens: () => [...running.values()].reduce((sum, one) => sum + Math.max(0, one.waiting.expectedTokens - generatedTokens(one)), 0),
    secondsOf,
    capacityPerSecond: () => model.tokens.observedCount === 0 ? 0 : 1 / secondsOf(model.tokens.mean),
    boundTokens: ({ request, doneTokens }) => Math.max(1, request.expectedTokens * upperBound(lengthRatio) - doneTokens) + PREFILL_TOKENS,
    meanTokens: () => model.tokens.mean,
    waitRatio: () => model.waitRatio,
    prefixes: () => new Set(prefixes)
  }
}
