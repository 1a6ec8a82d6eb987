import type { Attempt } from '../attempts/types.js'
import type { QueuedAttempt } from './createQueue.js'

const MS_PER_SECOND = 1000

/** How fast the backend server works. */
export interface Pace {
  /** Smoothed time between tokens of one stream. */
  readonly tokenIntervalMs: number
  readonly batchSize: number
}

/** Tokens that an attempt is expected to take yet. */
export type RemainingTokens = (attempt: Attempt) => number

interface Options {
  readonly queued: Iterable<QueuedAttempt>
  readonly running: readonly Attempt[]
  readonly pace: Pace
  readonly remainingTokens: RemainingTokens
}

/** Expected tokens of all that waits. */
export const tokensQueued = ({ queued, remainingTokens }: Pick<Options, 'queued' | 'remainingTokens'>): number => {
  let tokenCount = 0
  for (const { attempt } of queued) tokenCount += remainingTokens(attempt)
  return tokenCount
}

/**
 * Expected time until a request gets a place in the batch, in seconds: the `tokensAhead` that are served before it,
 * spread over the batch, and the end of the first run when the batch is full.
 */
export const secondsAhead = ({ running, pace, remainingTokens }: Omit<Options, 'queued'>, tokensAhead: number): number => {
  const isFull = running.length >= pace.batchSize
  const firstFree = isFull ? Math.min(...running.map(remainingTokens)) : 0
  return (tokensAhead / pace.batchSize + firstFree) * pace.tokenIntervalMs / MS_PER_SECOND
}

/** All work that is queued and running, in seconds at the present speed, spread over the batch. */
export const secondsInAll = ({ queued, running, pace, remainingTokens }: Options): number => {
  let tokenCount = tokensQueued({ queued, remainingTokens })
  for (const attempt of running) tokenCount += remainingTokens(attempt)
  return tokenCount * pace.tokenIntervalMs / pace.batchSize / MS_PER_SECOND
}
