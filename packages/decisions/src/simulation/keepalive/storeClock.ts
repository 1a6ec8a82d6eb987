/** Computes when loads end at a store that limits concurrent loads and load starts per second. */
export interface StoreClock {
  readonly reserve: (nowMs: number, loadMs: number) => number
}

/** Creates the store of one run; it serves loads in the order of the calls. */
export const createStoreClock = (loadsPerSecond: number, concurrency: number): StoreClock => {
  const freeAtMs = Array.from({ length: concurrency }, () => 0)
  let nextStartMs = 0
  return {
    reserve: (nowMs, loadMs) => {
      const earliestMs = Math.min(...freeAtMs)
      const startMs = Math.max(nowMs, earliestMs, nextStartMs)
      nextStartMs = startMs + 1_000 / loadsPerSecond
      freeAtMs[freeAtMs.indexOf(earliestMs)] = startMs + loadMs
      return startMs + loadMs
    }
  }
}
