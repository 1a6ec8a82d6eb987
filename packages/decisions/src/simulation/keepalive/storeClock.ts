/** When a load ends that is asked for now, at a store with so many loads at once and so many starts a second. */
export interface StoreClock {
  readonly reserve: (nowMs: number, loadMs: number) => number
}

/** Makes the store of one run; loads are served in the order in which they ask. */
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
