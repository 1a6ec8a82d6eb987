import { noFairness } from '@figmount/decisions'

import type { AttemptId, TimerService } from '@figmount/base'
import type { AccountServed, EstimateAhead, FairnessState, PickNext, WaitingRequest } from '@figmount/decisions'
import type { Attempt } from '../attempts/types.js'
import type { Estimates } from './createEstimates.js'

/** A queued attempt with the data that the order of service is decided on. */
export interface QueuedAttempt {
  readonly attempt: Attempt
  /** Expected wait when the attempt was admitted. */
  readonly predictedWaitMs: number
  readonly waiting: WaitingRequest<AttemptId>
}

/** Waiting requests whose model, version and adapter are ready, in order of arrival. */
export type ReadyRequests = ReadonlyArray<WaitingRequest<AttemptId>>

interface Options {
  readonly timers: TimerService
  readonly pickNext: PickNext
  readonly accountServed: AccountServed
  readonly estimateAhead: EstimateAhead
  readonly estimates: Pick<Estimates, 'expectedTokens' | 'boundTokens'>
}

/** Placeholder id of a request that is not queued yet; never used for a look-up. */
const NO_ATTEMPT = '' as AttemptId

/** The queue of one agent. Its length limit is enforced at admission. */
export interface Queue {
  readonly add: (attempt: Attempt, predictedWaitMs: number) => void
  readonly remove: (id: AttemptId) => void
  readonly all: () => Iterable<QueuedAttempt>
  readonly count: () => number
  /** Expected tokens that would be served before a request that arrives now. */
  readonly tokensAhead: (request: Attempt['request']) => number
  /** Waiting requests that can start now. */
  readonly ready: (canStart: (attempt: Attempt) => boolean) => ReadyRequests
  readonly get: (id: AttemptId) => QueuedAttempt | undefined
  /** Picks the next attempt of `ready`; it stays queued until removed. */
  readonly pick: (ready: ReadyRequests) => QueuedAttempt | undefined
  /** Accounts tokens to the caller for fairness; a negative count corrects an earlier overestimate. */
  readonly account: (attempt: Attempt, tokenCount: number) => void
}

type Arrival = Pick<Attempt, 'id' | 'request' | 'arrivedAtMs' | 'deadlineAtMs'>

const toWaitingRequest = ({ id, request, arrivedAtMs, deadlineAtMs }: Arrival, expectedTokens: number): WaitingRequest<AttemptId> => ({
  id,
  model: request.model,
  adapter: request.adapter,
  caller: request.caller,
  tenant: request.tenant,
  share: request.share,
  priority: request.priority,
  expectedTokens,
  arrivedAtMs,
  deadlineAtMs
})

/** Creates the queue of one agent. */
export const createQueue = ({ timers, pickNext, accountServed, estimateAhead, estimates }: Options): Queue => {
  const queued = new Map<AttemptId, QueuedAttempt>()
  let fairness: FairnessState = noFairness

  const withEstimates = (arrival: Arrival): WaitingRequest<AttemptId> => ({
    ...toWaitingRequest(arrival, estimates.expectedTokens(arrival.request)),
    boundTokens: estimates.boundTokens(arrival.request)
  })

  return {
    add: (attempt, predictedWaitMs) => {
      queued.set(attempt.id, { attempt, predictedWaitMs, waiting: withEstimates(attempt) })
    },
    remove: id => { queued.delete(id) },
    all: () => queued.values(),
    count: () => queued.size,
    tokensAhead: request => {
      const nowMs = timers.nowMs()
      const waiting = [...queued.values()].map(entry => entry.waiting)
      const arrival = { id: NO_ATTEMPT, request, arrivedAtMs: nowMs, deadlineAtMs: nowMs + request.remainingMs }
      return estimateAhead(waiting, withEstimates(arrival), fairness, nowMs)
    },
    ready: canStart => {
      const ready: Array<WaitingRequest<AttemptId>> = []
      for (const { attempt, waiting } of queued.values()) {
        if (canStart(attempt)) ready.push(waiting)
      }
      return ready
    },
    get: id => queued.get(id),
    pick: ready => {
      if (ready.length === 0) return undefined
      const picked = pickNext(ready, fairness, timers.nowMs())
      return picked && queued.get(picked.id)
    },
    account: (attempt, tokenCount) => {
      fairness = accountServed(fairness, toWaitingRequest(attempt, 0), tokenCount, timers.nowMs())
    }
  }
}
