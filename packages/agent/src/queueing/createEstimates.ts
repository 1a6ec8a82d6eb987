import { initialEstimate, observe, upperBound } from '@figmount/decisions'

import type { ModelId, TimerService } from '@figmount/base'
import type { Estimate } from '@figmount/decisions'
import type { RunRequest } from '@figmount/peers'

/** Half-life of the counts of refused and served requests; retry-after times are a few seconds. */
const RATE_HALF_LIFE_MS = 5_000

/** Most models with a stored answer length; the configuration allows an agent fewer models than that. */
const MAX_MODELS = 4_000

const MS_PER_SECOND = 1000

/** A count that halves every RATE_HALF_LIFE_MS. */
interface Decayed {
  readonly count: number
  readonly asOfMs: number
}

type TokenRequest = Pick<RunRequest, 'model' | 'maxTokens' | 'doneTokens'>

/** Estimates from the agent's own measurements: answer lengths, waits, refusals and service rate. */
export interface Estimates {
  /**
   * Expected tokens of a request: the mean of its model's answers, at most its `maxTokens`, plus the time to the
   * first token expressed in tokens.
   */
  readonly expectedTokens: (request: TokenRequest) => number
  /** Like `expectedTokens`, with an upper bound that most answers of the model stay below instead of the mean. */
  readonly boundTokens: (request: TokenRequest) => number
  /** Records a complete answer of `tokenCount` tokens, including those generated elsewhere. */
  readonly noteAnswer: (request: TokenRequest, tokenCount: number) => void
  /** Records the expected tokens of a request that starts. */
  readonly noteStart: (tokenCount: number) => void
  /** Mean expected tokens of recently started requests; 0 before the first. */
  readonly meanTokens: () => number
  /** Records the time from a start to its first token, in token intervals. */
  readonly notePrefill: (tokenCount: number) => void
  readonly noteWait: (predictedMs: number, actualMs: number) => void
  readonly noteRefusal: () => void
  readonly waitRatio: () => Estimate
  readonly recentRefusals: () => number
  readonly servedPerSecond: () => number
}

const decayedTo = ({ count, asOfMs }: Decayed, nowMs: number): number => count * 0.5 ** ((nowMs - asOfMs) / RATE_HALF_LIFE_MS)

/** Creates the estimates of one agent. */
export const createEstimates = (timers: TimerService): Estimates => {
  const tokens = new Map<ModelId, Estimate>()
  let waitRatio: Estimate = { mean: 1, deviation: 0, observedCount: 0 }
  let prefillTokens: Estimate = { mean: 0, deviation: 0, observedCount: 0 }
  let startedTokens: Estimate = { mean: 0, deviation: 0, observedCount: 0 }
  let refused: Decayed = { count: 0, asOfMs: 0 }
  let served: Decayed = { count: 0, asOfMs: 0 }

  const increment = (known: Decayed): Decayed => {
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
      served = increment(served)
      // An answer cut off at `maxTokens` only shows that the length is at least that. If it counted as a full answer, a
      // low limit would make long answers look short, and more requests would be admitted than finish in time.
      const known = tokens.get(model)
      if (tokenCount >= maxTokens && tokenCount <= (known?.mean ?? Number.POSITIVE_INFINITY)) return
      if (tokens.size >= MAX_MODELS && !known) tokens.clear()
      tokens.set(model, observe(known ?? initialEstimate(tokenCount), tokenCount))
    },
    noteStart: tokenCount => { startedTokens = observe(startedTokens, tokenCount) },
    meanTokens: () => startedTokens.mean,
    notePrefill: tokenCount => { prefillTokens = observe(prefillTokens, tokenCount) },
    noteWait: (predictedMs, actualMs) => {
      // A prediction below 1 ms carries no information about the ratio.
      if (predictedMs >= 1) waitRatio = observe(waitRatio, actualMs / predictedMs)
    },
    noteRefusal: () => { refused = increment(refused) },
    waitRatio: () => waitRatio,
    recentRefusals: () => decayedTo(refused, timers.nowMs()),
    // A steady rate under exponential decay sums to the rate times the half-life over ln 2.
    servedPerSecond: () => decayedTo(served, timers.nowMs()) * Math.LN2 / RATE_HALF_LIFE_MS * MS_PER_SECOND
  }
}
