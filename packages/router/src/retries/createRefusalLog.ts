/** Counts recent refusals and answers, for retry delays that spread returning callers. */
export interface RefusalLog {
  readonly addRefused: (nowMs: number) => void
  readonly addServed: (nowMs: number) => void
  readonly recentRefusals: (nowMs: number) => number
  readonly servedPerSecond: (nowMs: number) => number
}

const BUCKET_MS = 1_000
/** Length of the window in seconds: longer than most retry delays, short enough to follow the end of an outage. */
const BUCKET_COUNT = 10

interface Bucket {
  readonly second: number
  refused: number
  served: number
}

/** Creates the log. Its size does not depend on the load: ten buckets of one second each. */
export const createRefusalLog = (): RefusalLog => {
  const buckets: Bucket[] = []

  const bucketAt = (nowMs: number): Bucket => {
    const second = Math.floor(nowMs / BUCKET_MS)
    const known = buckets[second % BUCKET_COUNT]
    if (known?.second === second) return known
    const fresh = { second, refused: 0, served: 0 }
    buckets[second % BUCKET_COUNT] = fresh
    return fresh
  }

  const sum = (nowMs: number, read: (bucket: Bucket) => number): number => {
    const second = Math.floor(nowMs / BUCKET_MS)
    const recent = buckets.filter(bucket => bucket && bucket.second > second - BUCKET_COUNT)
    return recent.reduce((total, bucket) => total + read(bucket), 0)
  }

  return {
    addRefused: nowMs => { bucketAt(nowMs).refused += 1 },
    addServed: nowMs => { bucketAt(nowMs).served += 1 },
    recentRefusals: nowMs => sum(nowMs, bucket => bucket.refused),
    servedPerSecond: nowMs => sum(nowMs, bucket => bucket.served) / BUCKET_COUNT
  }
}
