import { initialPace } from '@figmount/decisions'

import { DEAD_LEASE_MS } from './constants.js'
import { decodeLease, decodeLimit, LIMIT_KEY } from './leaseCodec.js'

import type { LeaseView, StorePace } from '@figmount/decisions'
import type { FeedPage } from '@figmount/fleet'
import type { LoadLease } from './types.js'

/** A lease with its times by this process's clock. */
interface KnownLease {
  readonly modelName: string
  readonly waitingCount: number
  readonly takenMs: number
  readonly expiresMs: number
  /** Where it stands in the feed. */
  readonly offset: number
}

/** All leases and the limit, as far as the feed was read. A plain value. */
export interface LeaseBook {
  readonly leases: ReadonlyMap<string, KnownLease>
  readonly pace: StorePace
}

/** The time by both clocks of this process. */
export interface ClockReading {
  readonly nowMs: number
  readonly unixMs: number
}

/** The book before anything was read. */
export const emptyBook: LeaseBook = { leases: new Map(), pace: initialPace }

const toKnownLease = ({ modelName, waitingCount, lifetimeMs }: LoadLease, takenMs: number, offset: number): KnownLease =>
  ({ modelName, waitingCount, takenMs, expiresMs: takenMs + lifetimeMs, offset })

// Bytes of another writer that hide the limit: as little is known as at the first start.
const toPace = (value: Uint8Array, clock: ClockReading): StorePace => {
  const limit = decodeLimit(value)
  if (!limit) return initialPace
  const { fullSpeedCount, failedTrialCount, slowedAtUnixMs } = limit
  const slowedAtMs = slowedAtUnixMs === 0 ? -Infinity : clock.nowMs - Math.max(0, clock.unixMs - slowedAtUnixMs)
  return { fullSpeedCount, failedTrialCount, slowedAtMs }
}

/**
 * The book after a page of the feed, which replaces all leases if it holds the newest record of each key. Clocks of different machines
 * differ, so the holder's is used only there; a lease that came by a read which waited for it has just been taken.
 */
export const takePage = (book: LeaseBook, page: FeedPage, isWhole: boolean, clock: ClockReading): LeaseBook => {
  const leases = new Map(isWhole ? [] : book.leases)
  let { pace } = book
  for (const { key, value, offset } of page.records) {
    if (key === LIMIT_KEY) {
      if (value) pace = toPace(value, clock)
      continue
    }
    const lease = value && decodeLease(value)
    const ageMs = isWhole && lease ? Math.max(0, clock.unixMs - lease.takenUnixMs) : 0
    if (lease) leases.set(key, toKnownLease(lease, book.leases.get(key)?.takenMs ?? clock.nowMs - ageMs, offset))
    else leases.delete(key)
  }
  return { leases, pace }
}

/** The leases that have not expired, but for those that are excluded by their keys. */
export const viewLeases = ({ leases }: LeaseBook, nowMs: number, isExcluded: (key: string) => boolean): readonly LeaseView[] => {
  const views: LeaseView[] = []
  for (const [key, { modelName, waitingCount, takenMs, expiresMs }] of leases) {
    if (expiresMs > nowMs && !isExcluded(key)) views.push({ modelName, waitingCount, ageMs: nowMs - takenMs, leftMs: expiresMs - nowMs })
  }
  return views
}

/** Keys of leases that expired long ago, which nobody has removed. */
export const deadKeys = ({ leases }: LeaseBook, nowMs: number): readonly string[] =>
  [...leases].filter(([, { expiresMs }]) => nowMs - expiresMs > DEAD_LEASE_MS).map(([key]) => key)
