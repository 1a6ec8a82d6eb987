/** Estimate of how many concurrent loads the weight store serves at full speed. A plain value. */
export interface StorePace {
  /** Loads that may run at the same time. */
  readonly fullSpeedCount: number
  /** When a load was last slowed down by others. */
  readonly slowedAtMs: number
  /** Loads that were slowed down since one has proved the count. */
  readonly failedTrialCount: number
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

/** A load was slowed down by others if it takes longer than without them by this share... */
const MAX_SLOWDOWN_SHARE = 0.25

/** ...or by this part of what one load too many would add, whichever is less. */
const EXCESS_PART = 0.5

/** Time after a slowed load before one load more is tried again, in loads at full speed: each trial may slow down a load. */
const TRIAL_DELAY_LOADS = 4

/** The delay doubles with each failed trial, up to this many times. */
const MAX_DOUBLINGS = 4

/** Initial estimate for a store without observations. */
export const initialPace: StorePace = { fullSpeedCount: 1, slowedAtMs: -Infinity, failedTrialCount: 0 }

/** Whether one load more than the estimate may be tried, to see whether the store carries it. */
export const mayTryMore = (pace: StorePace, fullSpeedMs: number, nowMs: number): boolean =>
  nowMs - pace.slowedAtMs > fullSpeedMs * TRIAL_DELAY_LOADS * 2 ** Math.max(0, pace.failedTrialCount - 1)

/** Whether others have slowed the load down. */
export const isSlowedLoad = ({ fullSpeedMs, tookMs, concurrentCount }: LoadObservation): boolean =>
  concurrentCount > 1 && tookMs > fullSpeedMs * (1 + Math.min(MAX_SLOWDOWN_SHARE, EXCESS_PART / concurrentCount))

/**
 * Updates the estimate with one observed load.
 *
 * Load pattern: dozens of rarely used models, loaded from a weight store that divides its bandwidth among all loads. Without a
 * limit forty engines load at once, each load takes forty times as long, and none of these engines loads an adapter meanwhile.
 * The platform does not state how many loads run at full speed, so the limit is derived from how long loads take. Only a load that
 * began beside others and was not slowed proves that the store carries as many.
 */
export const notePace = (pace: StorePace, load: LoadObservation, nowMs: number): StorePace => {
  const { concurrentCount, fullSpeedMs, tookMs } = load
  if (!isSlowedLoad(load)) {
    return load.hasEnded && concurrentCount > pace.fullSpeedCount ? { ...pace, fullSpeedCount: concurrentCount, failedTrialCount: 0 } : pace
  }
  const sustainedCount = Math.max(1, Math.min(concurrentCount - 1, Math.round(concurrentCount * fullSpeedMs / tookMs)))
  return {
    fullSpeedCount: Math.min(pace.fullSpeedCount, sustainedCount),
    slowedAtMs: nowMs,
    failedTrialCount: Math.min(MAX_DOUBLINGS + 1, pace.failedTrialCount + 1)
  }
}
