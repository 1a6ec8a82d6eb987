import { guess, observe, upperBound } from '@figmount/decisions'

import type { ModelId, TimerService } from '@figmount/base'
import type { Estimate } from '@figmount/decisions'
import type { RunRequest } from '@figmount/peers'

/** Half-life of the counts of refusals and of served requests. Grounds: come-back times are seconds. */
const RATE_HALF_LIFE_MS = 5_000

/** Models whose lengths of answers are remembered; the configuration bounds the models of an agent below that. */
const MAX_MODELS = 4_000

const MS_PER_SECOND = 1000

/** A count that halves every RATE_HALF_LIFE_MS. */
interface Decayed {
  readonly count: number
  readonly asOfMs: number
}

/** What the agent has measured of its own predictions and traffic. */
export interface Estimates {
  /** Tokens to expect of a request: what its model's answers mostly stay under, at most what was asked for. */
  readonly expectedTokens: (request: Pick<RunRequest, 'model' | 'maxTokens' | 'doneTokens'>) => number
  readonly noteAnswer: (model: ModelId, tokenCount: number) => void
  readonly noteWait: (predictedMs: number, actualMs: number) => void
  readonly noteRefusal: () => void
  readonly waitRatio: () => Estimate
  readonly recentRefusals: () => number
  readonly servedPerSecond: () => number
}

const decayedTo = ({ count, asOfMs }: Decayed, nowMs: number): number => count * 0.5 ** ((nowMs - asOfMs) / RATE_HALF_LIFE_MS)

/** Makes the estimates of one agent. */
export const createEstimates = (timers: TimerService): Estimates => {
  const tokens = new Map<ModelId, Estimate>()
  let waitRatio: Estimate = { mean: 1, deviation: 0, observedCount: 0 }
  let refused: Decayed = { count: 0, asOfMs: 0 }
  let served: Decayed = { count: 0, asOfMs: 0 }

  const plusOne = (known: Decayed): Decayed => {
    const nowMs = timers.nowMs()
    return { count: decayedTo(known, nowMs) + 1, asOfMs: nowMs }
  }

  return {
    expectedTokens: ({ model, maxTokens, doneTokens }) => {
      const known = tokens.get(model)
      const whole = known ? Math.min(maxTokens, upperBound(known)) : maxTokens
      return Math.max(1, whole - doneTokens.length)
    },
    noteAnswer: (model, tokenCount) => {
      if (tokens.size >= MAX_MODELS && !tokens.has(model)) tokens.clear()
      tokens.set(model, observe(tokens.get(model) ?? guess(tokenCount), tokenCount))
      served = plusOne(served)
    },
    noteWait: (predictedMs, actualMs) => {
      // A prediction of next to nothing says nothing about the ratio.
      if (predictedMs >= 1) waitRatio = observe(waitRatio, actualMs / predictedMs)
    },
    noteRefusal: () => { refused = plusOne(refused) },
    waitRatio: () => waitRatio,
    recentRefusals: () => decayedTo(refused, timers.nowMs()),
    // The sum of a steady rate under decay is the rate times the half-life over ln 2.
    servedPerSecond: () => decayedTo(served, timers.nowMs()) * Math.LN2 / RATE_HALF_LIFE_MS * MS_PER_SECOND
  }
}
