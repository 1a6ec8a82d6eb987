import { MAX_WAKES, WAKE_MS } from './constants.js'

import type { ModelId, TimerService } from '@figmount/base'
import type { RunRequest } from '@figmount/peers'

/** A model that refused callers will come back for. Times are monotonic ms. */
export interface Wake {
  readonly model: ModelId
  readonly version: string
  readonly adapter: string
  readonly priority: number
  readonly askedAtMs: number
}

/** Models to load although nobody waits for them here. */
export interface Wakes {
  /** Notes that a request was refused because its model gets ready too late for it. */
  readonly note: (request: Pick<RunRequest, 'model' | 'version' | 'adapter' | 'priority'>) => void
  /** Ends the wake of a model that can serve. */
  readonly settle: (model: ModelId) => void
  readonly current: () => readonly Wake[]
}

/**
 * Remembers what refused requests want loaded.
 *
 * Guards against a model that is never served: its load takes longer, or is believed to take longer,
 * than its callers' deadlines, so every request is refused before the load begins, nobody waits, nothing
 * is loaded, and the belief is never corrected. It shows as callers who are told to come back for ever.
 * The refusal stays immediate; the load goes on without it and the resend finds the model ready.
 */
export const createWakes = (timers: TimerService): Wakes => {
  const wakes = new Map<ModelId, Wake>()

  const dropOld = (): void => {
    const oldestMs = timers.nowMs() - WAKE_MS
    for (const wake of wakes.values()) {
      if (wake.askedAtMs < oldestMs) wakes.delete(wake.model)
    }
  }

  return {
    note: ({ model, version, adapter, priority }) => {
      const known = wakes.get(model)
      if (!known && wakes.size >= MAX_WAKES) return
      const highest = Math.max(priority, known?.priority ?? 0)
      wakes.set(model, { model, version, adapter, priority: highest, askedAtMs: timers.nowMs() })
    },
    settle: model => { wakes.delete(model) },
    current: () => {
      dropOld()
      return [...wakes.values()]
    }
  }
}
