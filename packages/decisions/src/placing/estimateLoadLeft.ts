/** A load under way, as it was told. */
export interface ToldLoad {
  /** Time that it still takes if nothing slows it. */
  readonly leftMs: number
  /** Time since it began. */
  readonly runningMs: number
  /** Age of this knowledge. */
  readonly ageMs: number
}

/** Part of its time so far that a late load is expected to take on. Half: a store that is shared by two doubles a load's time. */
const OVERDUE_SHARE = 0.5

/**
 * Expected time until a load ends.
 *
 * Load pattern: a weight store that is shared by more loads than it carries. A load that should have ended is always about
 * to end, and every caller of its model waits in vain.
 */
export const estimateLoadLeftMs = ({ leftMs, runningMs, ageMs }: ToldLoad): number => {
  const left = leftMs - ageMs
  return left > 0 ? left : (runningMs + ageMs) * OVERDUE_SHARE
}
