/** What is known of how many loads the weight store carries at full speed. A plain value. */
export interface StorePace {
  /** Loads that may be under way at a time. */
  readonly fullSpeedCount: number
  /** When fewer than were tried turned out to be too many. */
  readonly loweredMs: number
}

/** One load from the weight store, as far as it has come. */
export interface SeenLoad {
  /** Time that it takes alone. */
  readonly aloneMs: number
  readonly tookMs: number
  /** Loads that were under way when it began, itself counted. */
  readonly atOnceCount: number
  readonly hasEnded: boolean
}

/** Loads to begin with: two show within one load's time which way to go. */
const FIRST_COUNT = 2

/** A load that takes this many times its time alone was slowed by others. */
const SLOWED = 1.25

/** Time for which a lower count is kept before one more is tried: a load or two of the slowest kind. */
const KEEP_LOWERED_MS = 20_000

/** The pace of a store of which nothing is known. */
export const firstPace: StorePace = { fullSpeedCount: FIRST_COUNT, loweredMs: -Infinity }

/**
 * Takes in one load.
 *
 * Load pattern: rare models by the dozen, each asked for now and then, before a weight store that shares its speed among
 * all loads. Without a bound forty engines load at once, each takes forty times as long, and none of them fetches an
 * adapter meanwhile. The platform does not say how many run at full speed; how long they take does.
 */
export const notePace = (pace: StorePace, load: SeenLoad, nowMs: number): StorePace => {
  const isSlowed = load.tookMs > load.aloneMs * SLOWED
  if (isSlowed) {
    const carried = Math.max(1, Math.round(load.atOnceCount * load.aloneMs / load.tookMs))
    return carried < pace.fullSpeedCount ? { fullSpeedCount: carried, loweredMs: nowMs } : pace
  }
  const mayGrow = load.hasEnded && load.atOnceCount >= pace.fullSpeedCount && nowMs - pace.loweredMs > KEEP_LOWERED_MS
  return mayGrow ? { ...pace, fullSpeedCount: load.atOnceCount + 1 } : pace
}
