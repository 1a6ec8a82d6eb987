import type { Admit } from './types.js'

const MS_PER_SECOND = 1000
const RETRY_AFTER_MS = 1_000

/** Baseline: admits every request until the queue is full. */
export const admitUntilFull: Admit = view => {
  if (view.queuedCount >= view.maxQueuedCount) return { kind: 'refuse', retryAfterMs: RETRY_AFTER_MS, detail: 'queue is full' }
  return { kind: 'admit', estimatedWaitMs: view.readyInMs + view.secondsAhead * MS_PER_SECOND }
}
