import type { TimerService } from '@figmount/base'

/** Callers come back within a third of the time that they have left, five seconds at most; one that is silent longer has given up. */
const FORGET_MS = 10_000

interface Unmet {
  readonly sinceMs: number
  readonly lastMs: number
}

/** Models that a router's callers ask for again and again without being served. */
export interface UnmetModels {
  /** Notes that a request finds no engine with the model; the time for which requests have found none. */
  readonly note: (modelName: string) => number
  /** An engine holds the model. */
  readonly settle: (modelName: string) => void
}

/**
 * Remembers for how long a model has been asked for in vain.
 *
 * Load pattern: callers of a rare model who each wait a second and a half and are refused. What a wait may cost others grows
 * with its time; counted anew for each caller it never reached what the busy models of an engine cost, and the model was asked
 * for over eight seconds without being loaded once.
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
