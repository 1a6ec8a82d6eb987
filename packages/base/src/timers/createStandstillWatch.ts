import type { TimerService, Unsubscribe } from './types.js'

const TICK_MS = 250

/** A gap between two looks at the clocks of more than this is a standstill. */
const MIN_GAP_MS = 2 * TICK_MS

/** Finds out whether the process has stood still. */
export interface StandstillWatch {
  /** Monotonic time at which the process went on after its latest standstill; -Infinity if there was none. */
  readonly wokeMs: () => number
  readonly stop: Unsubscribe
}

/**
 * Creates the watch of one process; `noted` is called with the length of each standstill.
 *
 * What arrived during a standstill is read before timers run, so each question looks at the clocks itself. A suspended machine's monotonic
 * clock stands still too, and its wall clock does not; a step of the wall clock forwards looks the same and counts as well.
 */
export const createStandstillWatch = (timers: TimerService, noted: (durationMs: number) => void): StandstillWatch => {
  let lastMs = timers.nowMs()
  let lastUnixMs = timers.unixMs()
  let wokeMs = -Infinity

  const look = (): void => {
    const nowMs = timers.nowMs()
    const unixMs = timers.unixMs()
    const gapMs = Math.max(nowMs - lastMs, unixMs - lastUnixMs)
    lastMs = nowMs
    lastUnixMs = unixMs
    if (gapMs < MIN_GAP_MS) return
    wokeMs = nowMs
    noted(gapMs)
  }

  const stop = timers.every(TICK_MS, look)
  return {
    wokeMs: () => {
      look()
      return wokeMs
    },
    stop
  }
}
