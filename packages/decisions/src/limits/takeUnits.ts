import type { NeededUnits, RateLimit, TakeResult, TokenBucket, UnitsRequest } from './types.js'

const MS_PER_S = 1_000

/** Minimum capacity of a bucket, as the units that accrue in this time: a limit without a burst lets this many through at once. */
const MIN_BURST_S = 0.5

/** Maximum units in a bucket. */
export const capacityOf = ({ unitsPerS, burstUnits }: RateLimit): number => Math.max(burstUnits, unitsPerS * MIN_BURST_S)

/** An empty bucket. */
export const emptyBucket = (nowMs: number): TokenBucket => ({ levelUnits: 0, asOfMs: nowMs })

/** A bucket at its capacity. */
export const fullBucket = (limit: RateLimit, nowMs: number): TokenBucket => ({ levelUnits: capacityOf(limit), asOfMs: nowMs })

/** The bucket with the units added that have accrued until now. */
export const refill = (bucket: TokenBucket, limit: RateLimit, nowMs: number): TokenBucket => {
  const addedUnits = Math.max(0, nowMs - bucket.asOfMs) * limit.unitsPerS / MS_PER_S
  return { levelUnits: Math.min(capacityOf(limit), bucket.levelUnits + addedUnits), asOfMs: nowMs }
}

/** A request takes its units once all of them are available; one that exceeds the capacity, once the bucket is full. */
export const needAll: NeededUnits = (units, limit) => Math.min(units, capacityOf(limit))

/**
 * A request takes its units as long as the bucket is not in debt, whatever its size.
 *
 * Load pattern: an organisation above its limit with large and small requests. If all units had to be available, large requests
 * would be refused because small ones take what accrues, or would overtake them by waiting longer. This rule gives each kind of
 * request the same chance. The bucket goes into debt by one request at most.
 */
export const needNoDebt: NeededUnits = () => 0

/**
 * Takes units for one request, at once or after a short wait.
 *
 * Load pattern: an organisation that sends several times its limit. In any time t at most the burst plus `unitsPerS` x t plus one
 * request are let through. Without the wait, requests that arrive close together are refused although the mean rate is within
 * the limit.
 */
export const takeUnits = (
  bucket: TokenBucket, limit: RateLimit, { units, maxWaitMs }: UnitsRequest, needed: NeededUnits, nowMs: number
): TakeResult => {
  const refilled = refill(bucket, limit, nowMs)
  const missingUnits = needed(units, limit) - refilled.levelUnits
  const waitMs = missingUnits <= 0 ? 0 : missingUnits / limit.unitsPerS * MS_PER_S
  if (waitMs > maxWaitMs) return { isTaken: false, bucket: refilled, retryAfterMs: waitMs }
  return { isTaken: true, bucket: { ...refilled, levelUnits: refilled.levelUnits - units }, waitMs }
}

/** A share of a limit. */
export const shareOfLimit = ({ unitsPerS, burstUnits }: RateLimit, share: number): RateLimit =>
  ({ unitsPerS: unitsPerS * share, burstUnits: burstUnits * share })

/** Scales a bucket down when its share of the limit shrinks. A larger share fills up over time. */
export const resizeBucket = (bucket: TokenBucket, fromShare: number, toShare: number): TokenBucket => {
  if (toShare >= fromShare || bucket.levelUnits <= 0) return bucket
  return { ...bucket, levelUnits: bucket.levelUnits * toShare / fromShare }
}
