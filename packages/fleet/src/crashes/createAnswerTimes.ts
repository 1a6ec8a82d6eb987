import type { TimerService } from '@figmount/base'
import type { RequestIdentity } from './types.js'

/** Maximum number of stored requests, and of contents: several minutes of a busy router. */
const MAX_ANSWERED = 2_000

/** Times of the latest complete answers. */
export interface AnswerTimes {
  readonly note: (identity: RequestIdentity, atMs: number) => void
  /** Time since the latest answer to the request; Infinity without one. */
  readonly ageOfRequestMs: (identity: RequestIdentity) => number
  /** Time since the latest answer to a request of any caller with the content; Infinity without one. */
  readonly ageOfContentMs: (contentHash: string) => number
}

const keyOf = ({ contentHash, callerId }: RequestIdentity): string => `${contentHash} ${callerId}`

/** Creates the record of answers of one process; the oldest are forgotten first. */
export const createAnswerTimes = (timers: TimerService): AnswerTimes => {
  const requestsMs = new Map<string, number>()
  const contentsMs = new Map<string, number>()

  const keepLatest = (timesMs: Map<string, number>, key: string, atMs: number): void => {
    const latestMs = Math.max(atMs, timesMs.get(key) ?? -Infinity)
    timesMs.delete(key)
    timesMs.set(key, latestMs)
    if (timesMs.size <= MAX_ANSWERED) return
    const [oldest = ''] = timesMs.keys()
    timesMs.delete(oldest)
  }

  return {
    note: (identity, atMs) => {
      keepLatest(requestsMs, keyOf(identity), atMs)
      keepLatest(contentsMs, identity.contentHash, atMs)
    },
    ageOfRequestMs: identity => timers.nowMs() - (requestsMs.get(keyOf(identity)) ?? -Infinity),
    ageOfContentMs: contentHash => timers.nowMs() - (contentsMs.get(contentHash) ?? -Infinity)
  }
}
