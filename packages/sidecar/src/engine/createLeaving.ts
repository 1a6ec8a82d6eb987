import { sleep } from '@figmount/base'

import { LEAVE_NOTICE_MS } from './constants.js'

import type { TimerService } from '@figmount/base'

/** A model that takes no new requests until those that run have ended. */
interface Draining {
  readonly modelName: string
  readonly sinceMs: number
}

/** Which models of an engine take no new requests because they are to go. */
export interface Leaving {
  /** Models that routers send no requests for. */
  readonly names: () => readonly string[]
  /** A model is about to be unloaded, or is being. */
  readonly isUnloading: () => boolean
  /** Names the model whose requests are to end before it is unloaded; empty for none. The one named before is kept after all. */
  readonly drain: (modelName: string) => void
  /** Tells routers that the model is unloaded now, and waits until their newest requests have arrived. */
  readonly giveNotice: (modelName: string) => Promise<void>
  /** The unload was not ordered, or was turned away. */
  readonly takeBack: () => void
  /** The engine holds these models now. */
  readonly noteHeld: (held: ReadonlySet<string>) => void
  readonly forget: () => void
}

/** Makes the notices of one agent; `changed` has routers told. */
export const createLeaving = (timers: TimerService, changed: () => void): Leaving => {
  let unloading: string | undefined
  let draining: Draining | undefined

  const drain = (modelName: string): void => {
    if (modelName === (draining?.modelName ?? '')) return
    draining = modelName === '' ? undefined : { modelName, sinceMs: timers.nowMs() }
    changed()
  }

  return {
    names: () => [unloading, draining?.modelName].filter(name => name !== undefined),
    isUnloading: () => unloading !== undefined,
    drain,
    // Guards against requests that reach the engine just as their model goes: they would be turned away there. Routers
    // are told first and the order follows when their newest requests have arrived.
    giveNotice: async modelName => {
      drain(modelName)
      const toldForMs = timers.nowMs() - (draining?.sinceMs ?? timers.nowMs())
      if (toldForMs < LEAVE_NOTICE_MS) await sleep(timers, LEAVE_NOTICE_MS - toldForMs)
      unloading = modelName
      draining = undefined
    },
    takeBack: () => { unloading = undefined },
    noteHeld: held => {
      if (unloading !== undefined && !held.has(unloading)) unloading = undefined
    },
    forget: () => {
      unloading = undefined
      draining = undefined
    }
  }
}
