/** Estimate of how many concurrent loads the weight store serves at full speed. A plain value. */
export interface StorePace {
  /** Loads that may run at the same time. */
  readonly fullSpeedCount: number
  /** When the count was last lowered. */
  readonly loweredAtMs: number
}

/** Progress of one load from the weight store. */
export interface LoadObservation {
  /** Time that the load takes without concurrent loads. */
  readonly fullSpeedMs: number
  readonly tookMs: number
  /** Loads that were running when this one started, including itself. */
  readonly concurrentCount: number
  readonly hasEnded: boolean
}

/** Initial number of concurrent loads. With two, the duration of a single load shows whether the count is too high or too low. */
const INITIAL_COUNT = 2

/** A load that takes this many times its duration without concurrent loads was slowed down by others. */
const SLOWDOWN_THRESHOLD = 1.25

/** Time after a reduction before a higher count is tried again: one or two loads of the slowest kind. */
const RAISE_DELAY_MS = 20_000

/** Initial estimate for a store without observations. */
export const initialPace: StorePace = { fullSpeedCount: INITIAL_COUNT, loweredAtMs: -Infinity }

/**
 * Updates the estimate with one observed load.
 *
 * Load pattern: dozens of rarely used models, loaded from a weight store that divides its bandwidth among all loads. Without a
 * limit forty engines load at once, each load takes forty times as long, and none of these engines loads an adapter meanwhile.
 * The platform does not state how many loads run at full speed, so the limit is derived from how long loads take.
 */
export const notePace = (pace: StorePace, load: LoadObservation, nowMs: number): StorePace => {
  const isSlowed = load.tookMs > load.fullSpeedMs * SLOWDOWN_THRESHOLD
  if (isSlowed) {
    const sustainedCount = Math.max(1, Math.round(load.concurrentCount * load.fullSpeedMs / load.tookMs))
    return sustainedCount < pace.fullSpeedCount ? { fullSpeedCount: sustainedCount, loweredAtMs: nowMs } : pace
  }
  const mayGrow = load.hasEnded && load.concurrentCount >= pace.fullSpeedCount && nowMs - pace.loweredAtMs > RAISE_DELAY_MS
  return mayGrow ? { ...pace, fullSpeedCount: load.concurrentCount + 1 } : pace
}
