import type { ModelId } from '@figmount/base'
import type { WaitingLoad } from '../loading/types.js'
import type { WaitingRequest } from '../queueing/types.js'
import type { Attempt, Outcome, SimulatedModel } from './types.js'

/** An attempt that was admitted, or the shadow of one that was refused. */
export interface Held {
  readonly attempt: Attempt
  readonly waiting: WaitingRequest
  readonly predictedMs: number
  readonly reply: (outcome: Outcome) => void
  readonly isShadow: boolean
}

interface Lists {
  readonly real: readonly WaitingRequest[]
  readonly ready: readonly WaitingRequest[]
  readonly shadows: readonly Held[]
}

/** What waits at one simulated server. */
export interface WaitingRoom {
  readonly hold: (id: string, held: Held) => void
  readonly drop: (id: string) => void
  readonly get: (id: string) => Held | undefined
  readonly clear: () => readonly Held[]
  /** Lists that are built anew only after a change. */
  readonly lists: () => Lists
  /** To be called when a model became ready or went away. */
  readonly modelsChanged: () => void
  /** The load of a model as those that wait for it make it. */
  readonly loadOf: (spec: SimulatedModel, askedAtMs: number) => WaitingLoad
  readonly oldestAtMs: (model: ModelId) => number
}

/** Makes an empty room. */
export const createWaitingRoom = (isReady: (model: ModelId) => boolean): WaitingRoom => {
  const held = new Map<string, Held>()
  let cached: Lists | undefined

  const lists = (): Lists => {
    if (cached) return cached
    const all = [...held.values()]
    const real = all.filter(one => !one.isShadow).map(one => one.waiting)
    cached = {
      real,
      ready: real.filter(one => isReady(one.model)),
      shadows: all.filter(one => one.isShadow && isReady(one.waiting.model))
    }
    return cached
  }
  const wanting = (model: ModelId): readonly WaitingRequest[] => lists().real.filter(one => one.model === model)

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
    modelsChanged: () => { cached = undefined },
    loadOf: (spec, askedAtMs) => {
      const requests = wanting(spec.model)
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
    oldestAtMs: model => Math.min(...wanting(model).map(one => one.arrivedAtMs))
  }
}
