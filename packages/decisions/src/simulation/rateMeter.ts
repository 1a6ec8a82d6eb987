import { SimulationFacts } from './constants.js'

/** Counts what happened in the last `rateWindowMs`, and what is promised for later. */
export interface RateMeter {
  readonly record: (atMs: number) => void
  readonly perSecond: (nowMs: number) => number
}

/** Makes a meter over whole-second buckets. */
export const createRateMeter = (): RateMeter => {
  const buckets = new Map<number, number>()
  const bucketOf = (atMs: number): number => Math.floor(atMs / 1_000)
  const bucketCount = SimulationFacts.rateWindowMs / 1_000
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

/** Refused requests whose time to come back has not come yet. */
export interface PromiseMeter {
  readonly promise: (atMs: number) => void
  readonly outstanding: (nowMs: number) => number
}

/** Makes a meter over whole-second buckets. */
export const createPromiseMeter = (): PromiseMeter => {
  const buckets = new Map<number, number>()
  return {
    promise: atMs => {
      const bucket = Math.ceil(atMs / 1_000)
      buckets.set(bucket, (buckets.get(bucket) ?? 0) + 1)
    },
    outstanding: nowMs => {
      let sum = 0
      for (const [bucket, count] of buckets) {
        if (bucket * 1_000 < nowMs) buckets.delete(bucket)
        else sum += count
      }
      return sum
    }
  }
}
