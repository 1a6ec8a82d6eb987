import type { TimerService } from '@figmount/base'

/** Callers retry within a third of the time they have left, five seconds at most; one that pauses longer has given up. */
const FORGET_MS = 10_000

interface Unmet {
  readonly sinceMs: number
  readonly lastMs: number
}

/** Models whose requests are repeatedly refused because no engine holds them. */
export interface UnmetModels {
  /** Notes that a request found no engine with the model; returns for how long requests have found none. */
  readonly note: (modelName: string) => number
  /** An engine holds the model. */
  readonly settle: (modelName: string) => void
}

/**
 * Records for how long the requests for a model have not been served.
 *
 * Load pattern: callers of a rare model who each wait a second and a half and are refused. The eviction cost allowed for a load grows with
 * the waiting time. Counted from zero for each caller, it never reached the cost of evicting an engine's busy models: the model was
 * requested for over eight seconds without being loaded once.
 */
export const createUnmetModels = (timers: TimerService): UnmetModels => {
  const unmetModels = new Map<string, Unmet>()
  return {
    note: modelName => {
      const nowMs = timers.nowMs()
      const known = unmetModels.get(modelName)
      const sinceMs = known && nowMs - known.lastMs < FORGET_MS ? known.sinceMs : nowMs
      unmetModels.set(modelName, { sinceMs, lastMs: nowMs })
      return nowMs - sinceMs
    },
    settle: modelName => { unmetModels.delete(modelName) }
  }
}
