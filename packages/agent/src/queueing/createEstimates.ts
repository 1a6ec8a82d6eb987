import { initialEstimate, observe, upperBound } from '@figmount/decisions'

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

type TokenRequest = Pick<RunRequest, 'model' | 'maxTokens' | 'doneTokens'>

/** What the agent has measured of its own predictions and traffic. */
export interface Estimates {
  /**
   * Tokens to expect of a request: the mean of its model's answers, at most what was asked for, and the time to the
   * first token as the tokens that take as long.
   */
  readonly expectedTokens: (request: TokenRequest) => number
  /** The same with the tokens that most answers of its model stay under. */
  readonly boundTokens: (request: TokenRequest) => number
  /** Notes a whole answer of `tokenCount` tokens, those done elsewhere included. */
  readonly noteAnswer: (request: TokenRequest, tokenCount: number) => void
  /** Notes the expected tokens of a request that starts. */
  readonly noteStart: (tokenCount: number) => void
  /** Mean expected tokens of those that started of late; 0 before the first. */
  readonly meanTokens: () => number
  /** Notes the time from a start to its first token, in token intervals. */
  readonly notePrefill: (tokenCount: number) => void
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
  let prefillTokens: Estimate = { mean: 0, deviation: 0, observedCount: 0 }
  let startedTokens: Estimate = { mean: 0, deviation: 0, observedCount: 0 }
  let refused: Decayed = { count: 0, asOfMs: 0 }
  let served: Decayed = { count: 0, asOfMs: 0 }

  const plusOne = (known: Decayed): Decayed => {
    const nowMs = timers.nowMs()
    return { count: decayedTo(known, nowMs) + 1, asOfMs: nowMs }
  }

  const tokensBy = (valueOf: (known: Estimate) => number) => ({ model, maxTokens, doneTokens }: TokenRequest): number => {
    const known = tokens.get(model)
    const whole = known ? Math.min(maxTokens, valueOf(known)) : maxTokens
    return Math.max(1, whole - doneTokens.length) + prefillTokens.mean
  }

  return {
    expectedTokens: tokensBy(({ mean }) => mean),
    boundTokens: tokensBy(upperBound),
    noteAnswer: ({ model, maxTokens }, tokenCount) => {
      served = plusOne(served)
      // An answer cut at its limit shows only that the length is no less. Taken as the length, one short
      // limit makes long requests look short, and more are admitted than end before their deadlines.
      const known = tokens.get(model)
      if (tokenCount >= maxTokens && tokenCount <= (known?.mean ?? Number.POSITIVE_INFINITY)) return
      if (tokens.size >= MAX_MODELS && !known) tokens.clear()
      tokens.set(model, observe(known ?? initialEstimate(tokenCount), tokenCount))
    },
    noteStart: tokenCount => { startedTokens = observe(startedTokens, tokenCount) },
    meanTokens: () => startedTokens.mean,
    notePrefill: tokenCount => { prefillTokens = observe(prefillTokens, tokenCount) },
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
