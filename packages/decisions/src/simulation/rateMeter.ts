import { SimulationConstants } from './constants.js'

/** Counts events within the last `rateWindowMs`. */
export interface RateMeter {
  readonly record: (atMs: number) => void
  readonly perSecond: (nowMs: number) => number
}

/** Creates a meter with buckets of one second. */
export const createRateMeter = (): RateMeter => {
  const buckets = new Map<number, number>()
  const bucketOf = (atMs: number): number => Math.floor(atMs / 1_000)
  const bucketCount = SimulationConstants.rateWindowMs / 1_000
  return {
    record: atMs => {
      buckets.set(bucketOf(atMs), (buckets.get(bucketOf(atMs)) ?? 0) + 1)
      buckets.delete(bucketOf(atMs) - bucketCount - 1)
    },
    perSecond: nowMs => {
      let sum = 0
      for (let back = 0; back < bucketCount; back++) sum += buckets.get(bucketOf(nowMs) - back) ?? 0
      return sum / bucketCount
    }
  }
}

/** Counts refused requests whose retry time is still ahead. */
export interface PendingRetryMeter {
  readonly add: (atMs: number) => void
  readonly count: (nowMs: number) => number
}

/** Creates a meter with buckets of one second. */
export const createPendingRetryMeter = (): PendingRetryMeter => {
  const buckets = new Map<number, number>()
  return {
    add: atMs => {
      const bucket = Math.ceil(atMs / 1_000)
      buckets.set(bucket, (buckets.get(bucket) ?? 0) + 1)
    },
    count: nowMs => {
      let sum = 0
      for (const [bucket, count] of buckets) {
        if (bucket * 1_000 < nowMs) buckets.delete(bucket)
        else sum += count
      }
      return sum
    }
  }
}
