import type { NeededUnits, RateLimit, Taking, TokenBucket, UnitsRequest } from './types.js'

const MS_PER_S = 1_000

/** A limit without a burst lets this time's units through at once. */
const LEAST_BURST_S = 0.5

/** Most units that a bucket holds. */
export const capacityOf = ({ unitsPerS, burstUnits }: RateLimit): number => Math.max(burstUnits, unitsPerS * LEAST_BURST_S)

/** A bucket that holds nothing. */
export const emptyBucket = (nowMs: number): TokenBucket => ({ levelUnits: 0, asOfMs: nowMs })

/** A bucket that holds all that it can. */
export const fullBucket = (limit: RateLimit, nowMs: number): TokenBucket => ({ levelUnits: capacityOf(limit), asOfMs: nowMs })

/** The bucket with what has come in until now. */
export const refill = (bucket: TokenBucket, limit: RateLimit, nowMs: number): TokenBucket => {
  const cameIn = Math.max(0, nowMs - bucket.asOfMs) * limit.unitsPerS / MS_PER_S
  return { levelUnits: Math.min(capacityOf(limit), bucket.levelUnits + cameIn), asOfMs: nowMs }
}

/** A request takes its units when all of them are there; one that is larger than the whole bucket when that is full. */
export const needAll: NeededUnits = (units, limit) => Math.min(units, capacityOf(limit))

/**
 * A request takes its units as long as the bucket is not in debt, whatever its size.
 *
 * Load pattern: a hot organisation with large and small requests. Needing all of their units, large ones are refused beside small ones
 * that take what comes in, or, waiting longer for it, pass them. This way each kind of request has the same chance. The bucket goes
 * into debt by one request at most.
 */
export const needNoDebt: NeededUnits = () => 0

/**
 * Takes units for one request, at once or after a short wait.
 *
 * Load pattern: an organisation that sends several times what it may. In any time t no more than the burst and `unitsPerS` x t are
 * let through, and one request. Without the wait requests that come close together are refused though there is room for both on average.
 */
export const takeUnits = (
  bucket: TokenBucket, limit: RateLimit, { units, maxWaitMs }: UnitsRequest, needed: NeededUnits, nowMs: number
): Taking => {
  const refilled = refill(bucket, limit, nowMs)
  const missing = needed(units, limit) - refilled.levelUnits
  const waitMs = missing <= 0 ? 0 : missing / limit.unitsPerS * MS_PER_S
  if (waitMs > maxWaitMs) return { isTaken: false, bucket: refilled, retryAfterMs: waitMs }
  return { isTaken: true, bucket: { ...refilled, levelUnits: refilled.levelUnits - units }, waitMs }
}

/** A part of a limit. */
export const shareOfLimit = ({ unitsPerS, burstUnits }: RateLimit, share: number): RateLimit =>
  ({ unitsPerS: unitsPerS * share, burstUnits: burstUnits * share })

/** The bucket after its part of the limit has become a smaller one; what a larger part may hold comes in with time. */
export const resizeBucket = (bucket: TokenBucket, fromShare: number, toShare: number): TokenBucket => {
  if (toShare >= fromShare || bucket.levelUnits <= 0) return bucket
  return { ...bucket, levelUnits: bucket.levelUnits * toShare / fromShare }
}
