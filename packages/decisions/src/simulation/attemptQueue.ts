import type { ModelId } from '@figmount/base'
import type { WaitingLoad } from '../loading/types.js'
import type { WaitingRequest } from '../queueing/types.js'
import type { Attempt, Outcome, SimulatedModel } from './types.js'

/** An admitted attempt, or the shadow of a refused one. A shadow is queued like an admitted attempt, but never runs. */
export interface PendingAttempt {
  readonly attempt: Attempt
  readonly waiting: WaitingRequest
  readonly predictedMs: number
  readonly reply: (outcome: Outcome) => void
  readonly isShadow: boolean
}

interface QueueLists {
  readonly admitted: readonly WaitingRequest[]
  readonly ready: readonly WaitingRequest[]
  readonly shadows: readonly PendingAttempt[]
}

/** Attempts that wait at one simulated server. */
export interface AttemptQueue {
  readonly hold: (id: string, held: PendingAttempt) => void
  readonly drop: (id: string) => void
  readonly get: (id: string) => PendingAttempt | undefined
  readonly clear: () => readonly PendingAttempt[]
  /** The waiting requests by kind; cached until the next change. */
  readonly lists: () => QueueLists
  /** Discards the cached lists. Must be called when a model becomes ready or is unloaded. */
  readonly invalidate: () => void
  /** The load of a model, with the requests that wait for it. */
  readonly loadOf: (spec: SimulatedModel, askedAtMs: number) => WaitingLoad
  readonly oldestAtMs: (model: ModelId) => number
}

/** Creates an empty queue. */
export const createAttemptQueue = (isReady: (model: ModelId) => boolean): AttemptQueue => {
  const held = new Map<string, PendingAttempt>()
  let cached: QueueLists | undefined

  const lists = (): QueueLists => {
    if (cached) return cached
    const all = [...held.values()]
    const admittedRequests = all.filter(one => !one.isShadow).map(one => one.waiting)
    cached = {
      admitted: admittedRequests,
      ready: admittedRequests.filter(one => isReady(one.model)),
      shadows: all.filter(one => one.isShadow && isReady(one.waiting.model))
    }
    return cached
  }
  const waitingFor = (model: ModelId): readonly WaitingRequest[] => lists().admitted.filter(one => one.model === model)

  return {
    hold: (id, one) => { held.set(id, one); cached = undefined },
    drop: id => { held.delete(id); cached = undefined },
    get: id => held.get(id),
    clear: () => {
      const all = [...held.values()]
      held.clear()
      cached = undefined
      return all
    },
    lists,
    invalidate: () => { cached = undefined },
    loadOf: (spec, askedAtMs) => {
      const requests = waitingFor(spec.model)
      return {
        model: spec.model,
        waitingCount: requests.length,
        highestPriority: Math.max(0, ...requests.map(one => one.priority)),
        earliestDeadlineMs: Math.min(...requests.map(one => one.deadlineAtMs)),
        askedAtMs,
        checkpointMb: spec.memoryMb,
        tier: 'remote'
      }
    },
    oldestAtMs: model => Math.min(...waitingFor(model).map(one => one.arrivedAtMs))
  }
}
