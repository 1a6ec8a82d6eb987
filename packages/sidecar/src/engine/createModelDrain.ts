import { sleep } from '@figmount/base'

import { UNLOAD_NOTICE_MS } from './constants.js'

import type { TimerService } from '@figmount/base'

/** A model that accepts no new requests while its running ones finish. */
interface DrainingModel {
  readonly modelName: string
  readonly sinceMs: number
}

/** Tracks the models of an engine that accept no new requests because they are about to be unloaded. */
export interface ModelDrain {
  /** Models that routers must send no requests for. */
  readonly names: () => readonly string[]
  /** True when an unload is about to be ordered or is being carried out. */
  readonly isUnloading: () => boolean
  /** Drains the model before its unload; an empty name drains none. The model drained before accepts requests again. */
  readonly drain: (modelName: string) => void
  /** Drains the model if it is not drained yet, and waits until requests that routers sent before the notice have arrived. */
  readonly beginUnload: (modelName: string) => Promise<void>
  /** To be called when the unload was not ordered, or when the engine rejected it. */
  readonly cancelUnload: () => void
  /** Takes the names of the models that the engine holds. The unload has ended when its model is not among them any more. */
  readonly updateHeld: (held: ReadonlySet<string>) => void
  readonly reset: () => void
}

/** Creates the drain state of one agent. `onChange` is called when routers must be informed. */
export const createModelDrain = (timers: TimerService, onChange: () => void): ModelDrain => {
  let unloading: string | undefined
  let draining: DrainingModel | undefined

  const drain = (modelName: string): void => {
    if (modelName === (draining?.modelName ?? '')) return
    draining = modelName === '' ? undefined : { modelName, sinceMs: timers.nowMs() }
    onChange()
  }

  return {
    names: () => [unloading, draining?.modelName].filter(name => name !== undefined),
    isUnloading: () => unloading !== undefined,
    drain,
    // Guards against requests that reach the engine just as their model is unloaded: the engine would reject them. Routers
    // are informed first, and the order is sent once the requests under way have arrived.
    beginUnload: async modelName => {
      drain(modelName)
      const drainedForMs = timers.nowMs() - (draining?.sinceMs ?? timers.nowMs())
      if (drainedForMs < UNLOAD_NOTICE_MS) await sleep(timers, UNLOAD_NOTICE_MS - drainedForMs)
      unloading = modelName
      draining = undefined
    },
    cancelUnload: () => { unloading = undefined },
    updateHeld: held => {
      if (unloading !== undefined && !held.has(unloading)) unloading = undefined
    },
    reset: () => {
      unloading = undefined
      draining = undefined
    }
  }
}
