/** The highest of the numbers heard of recently. A plain value. */
export interface RecentHighest {
  readonly count: number
  /** Time at which that number, or a higher one, was last heard of. */
  readonly heardMs: number
}

/** A number before any is heard of, which is also the least. */
export const leastCount = (count: number): RecentHighest => ({ count, heardMs: -Infinity })

/** Takes a number. A lower one than the highest replaces it once that has not been heard of for `retentionMs`. */
export const noteCount = (highest: RecentHighest, count: number, least: number, retentionMs: number, nowMs: number): RecentHighest =>
  count < highest.count && nowMs - highest.heardMs < retentionMs ? highest : { count: Math.max(least, count), heardMs: nowMs }
