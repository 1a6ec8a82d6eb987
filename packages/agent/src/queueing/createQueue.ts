import { noFairness } from '@figmount/decisions'

import type { AttemptId, TimerService } from '@figmount/base'
import type { AccountServed, EstimateAhead, FairnessState, PickNext, WaitingRequest } from '@figmount/decisions'
import type { Attempt } from '../attempts/types.js'
import type { Estimates } from './createEstimates.js'

/** A queued attempt with what the order of service is decided on. */
export interface QueuedAttempt {
  readonly attempt: Attempt
  /** What its wait was expected to be when it was admitted. */
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

/** Stands for the id of a request that asks to be queued; nothing is looked up by it. */
const NO_ATTEMPT = '' as AttemptId

/** The bounded queue of one agent; its bound is kept at admission. */
export interface Queue {
  readonly add: (attempt: Attempt, predictedWaitMs: number) => void
  readonly remove: (id: AttemptId) => void
  readonly all: () => Iterable<QueuedAttempt>
  readonly count: () => number
  /** Expected tokens that are served before a request that arrives now, by the order of service. */
  readonly tokensAhead: (request: Attempt['request']) => number
  /** Those that can start now. */
  readonly ready: (canStart: (attempt: Attempt) => boolean) => ReadyRequests
  readonly get: (id: AttemptId) => QueuedAttempt | undefined
  /** Picks the next of `ready`; it stays queued until removed. */
  readonly pick: (ready: ReadyRequests) => QueuedAttempt | undefined
  /** Accounts tokens for fairness; a negative count takes back what was accounted too much. */
  readonly account: (attempt: Attempt, tokenCount: number) => void
}

type Arrival = Pick<Attempt, 'id' | 'request' | 'arrivedAtMs' | 'deadlineAtMs'>

const waitingOf = ({ id, request, arrivedAtMs, deadlineAtMs }: Arrival, expectedTokens: number): WaitingRequest<AttemptId> => ({
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

/** Makes the queue of one agent. */
export const createQueue = ({ timers, pickNext, accountServed, estimateAhead, estimates }: Options): Queue => {
  const queued = new Map<AttemptId, QueuedAttempt>()
  let fairness: FairnessState = noFairness

  const estimated = (arrival: Arrival): WaitingRequest<AttemptId> => ({
    ...waitingOf(arrival, estimates.expectedTokens(arrival.request)),
    boundTokens: estimates.boundTokens(arrival.request)
  })

  return {
    add: (attempt, predictedWaitMs) => {
      queued.set(attempt.id, { attempt, predictedWaitMs, waiting: estimated(attempt) })
    },
    remove: id => { queued.delete(id) },
    all: () => queued.values(),
    count: () => queued.size,
    tokensAhead: request => {
      const nowMs = timers.nowMs()
      const waiting = [...queued.values()].map(entry => entry.waiting)
      const arrival = { id: NO_ATTEMPT, request, arrivedAtMs: nowMs, deadlineAtMs: nowMs + request.remainingMs }
      return estimateAhead(waiting, estimated(arrival), fairness, nowMs)
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
      fairness = accountServed(fairness, waitingOf(attempt, 0), tokenCount, timers.nowMs())
    }
  }
}
