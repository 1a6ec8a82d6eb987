import type { Attempt } from '../attempts/types.js'
import type { QueuedAttempt } from './createQueue.js'

const MS_PER_SECOND = 1000

/** How fast the backend server works. */
export interface Pace {
  /** Smoothed time between tokens of one stream. */
  readonly tokenIntervalMs: number
  readonly batchSize: number
}

const remainingTokens = (attempt: Attempt): number => Math.max(1, attempt.request.maxTokens - attempt.tokenCount)

/** Seconds of work that is queued at `priority` or above and running, at the present speed. */
export const secondsAhead = (queued: Iterable<QueuedAttempt>, running: Iterable<Attempt>, pace: Pace, priority: number): number => {
  let tokenCount = 0
  for (const { attempt } of queued) {
    if (attempt.request.priority >= priority) tokenCount += remainingTokens(attempt)
  }
  let runningCount = 0
  for (const attempt of running) {
    runningCount += 1
    tokenCount += remainingTokens(attempt)
  }
  // With a slot of the batch free, work goes on beside what runs and nobody waits for it.
  if (runningCount < pace.batchSize && tokenCount > 0) {
    tokenCount = Math.max(0, tokenCount - [...running].reduce((sum, attempt) => sum + remainingTokens(attempt), 0))
  }
  return tokenCount * pace.tokenIntervalMs / pace.batchSize / MS_PER_SECOND
}
