/** A period in ms; `toMs` is exclusive. */
export interface Interval {
  readonly fromMs: number
  readonly toMs: number
}

/** Returns the total time covered by at least one interval. */
export const coveredMs = (intervals: readonly Interval[]): number => {
  let totalMs = 0
  let endMs = -Infinity
  for (const { fromMs, toMs } of [...intervals].sort((a, b) => a.fromMs - b.fromMs)) {
    totalMs += Math.max(0, toMs - Math.max(fromMs, endMs))
    endMs = Math.max(endMs, toMs)
  }
  return totalMs
}

export const overlaps = (a: Interval, b: Interval): boolean => a.fromMs < b.toMs && b.fromMs < a.toMs
