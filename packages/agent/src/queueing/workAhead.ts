import type { Attempt } from '../attempts/types.js'
import type { QueuedAttempt } from './createQueue.js'

const MS_PER_SECOND = 1000

/** Current speed of the backend server. */
export interface Pace {
  /** Smoothed time between tokens of one stream. */
  readonly tokenIntervalMs: number
  readonly batchSize: number
}

/** Expected tokens that an attempt still has to generate. */
export type RemainingTokens = (attempt: Attempt) => number

interface Options {
  readonly queued: Iterable<QueuedAttempt>
  readonly running: readonly Attempt[]
  readonly pace: Pace
  readonly remainingTokens: RemainingTokens
}

/** Expected tokens of all queued attempts. */
export const queuedTokens = ({ queued, remainingTokens }: Pick<Options, 'queued' | 'remainingTokens'>): number => {
  let tokenCount = 0
  for (const { attempt } of queued) tokenCount += remainingTokens(attempt)
  return tokenCount
}

/**
 * Expected seconds until a request gets a slot in the batch: the `tokensAhead` served before it, spread over the batch,
 * plus the remaining time of the run that ends first if the batch is full.
 */
export const secondsAhead = ({ running, pace, remainingTokens }: Omit<Options, 'queued'>, tokensAhead: number): number => {
  const isFull = running.length >= pace.batchSize
  const tokensUntilFree = isFull ? Math.min(...running.map(remainingTokens)) : 0
  return (tokensAhead / pace.batchSize + tokensUntilFree) * pace.tokenIntervalMs / MS_PER_SECOND
}

/** Seconds that all queued and running work takes at the current speed, spread over the batch. */
export const totalSeconds = ({ queued, running, pace, remainingTokens }: Options): number => {
  let tokenCount = queuedTokens({ queued, remainingTokens })
  for (const attempt of running) tokenCount += remainingTokens(attempt)
  return tokenCount * pace.tokenIntervalMs / pace.batchSize / MS_PER_SECOND
}
