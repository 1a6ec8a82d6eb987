/** A load in progress, as last reported. */
export interface ReportedLoad {
  /** Remaining time if nothing slows the load down. */
  readonly leftMs: number
  /** Time since the load started. */
  readonly runningMs: number
  /** Age of the report. */
  readonly ageMs: number
}

/**
 * Remaining time of an overdue load, as a share of the time that it has taken so far. Half, because a store that is shared by
 * two loads doubles the time of each.
 */
const OVERDUE_SHARE = 0.5

/**
 * Expected time until a load ends.
 *
 * Load pattern: a weight store that is shared by more loads than it can serve at full speed. If an overdue load were always
 * expected to end at once, every caller of its model would wait for it until its own deadline.
 */
export const estimateLoadLeftMs = ({ leftMs, runningMs, ageMs }: ReportedLoad): number => {
  const left = leftMs - ageMs
  return left > 0 ? left : (runningMs + ageMs) * OVERDUE_SHARE
}
