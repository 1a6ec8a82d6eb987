import { expect } from 'chai'

import { DEAD_LEASE_MS } from './constants.js'
import { deadKeys, emptyBook, takePage, viewLeases } from './leaseBook.js'
import { encodeLease, encodeLimit, LIMIT_KEY } from './leaseCodec.js'

import type { FeedPage, FeedRecord, NewRecord } from '@figmount/fleet'
import type { LeaseBook } from './leaseBook.js'

const UNIX_MS = 1_800_000_000_000

const LIFETIME_MS = 10_000

const lease = (modelName: string, ageMs = 0, lifetimeMs = LIFETIME_MS): NewRecord =>
  encodeLease(modelName, { modelName, waitingCount: 1, takenUnixMs: UNIX_MS - ageMs, lifetimeMs })

const pageOf = (...records: readonly NewRecord[]): FeedPage =>
  ({ records: records.map<FeedRecord>((record, offset) => ({ ...record, offset })), nextOffset: records.length, isExpired: false })

const take = (book: LeaseBook, isWhole: boolean, nowMs: number, ...records: readonly NewRecord[]): LeaseBook =>
  takePage(book, pageOf(...records), isWhole, { nowMs, unixMs: UNIX_MS + nowMs })

const leftMs = (book: LeaseBook, nowMs: number): readonly number[] => viewLeases(book, nowMs, () => false).map(view => view.leftMs)

describe('lease book', () => {
  it('counts the age of leases by their holders\' clocks in a read of all records', () => {
    expect(leftMs(take(emptyBook, true, 0, lease('m', 4_000)), 0)).to.deep.equal([6_000])
    expect(leftMs(take(emptyBook, true, 0, lease('m', LIFETIME_MS)), 0)).to.deep.equal([])
  })

  it('counts leases that a waiting read brings as new, whatever the clocks say', () => {
    // Guards against an agent whose clock is ahead and takes a lease beside one that has just been taken.
    expect(leftMs(take(emptyBook, false, 0, lease('m', 7_000)), 0)).to.deep.equal([LIFETIME_MS])
  })

  it('keeps the age of a lease that is renewed', () => {
    const renewed = take(take(emptyBook, false, 0, lease('m')), false, 9_000, lease('m', 0, 15_000))
    expect(viewLeases(renewed, 9_000, () => false)).to.deep.equal([{ modelName: 'm', waitingCount: 1, ageMs: 9_000, leftMs: 6_000 }])
  })

  it('drops leases that were removed', () => {
    const book = take(emptyBook, false, 0, lease('m'), lease('n'))
    expect(leftMs(take(book, false, 0, { key: 'm', value: undefined }), 0)).to.have.length(1)
    expect(leftMs(take(book, true, 0), 0)).to.deep.equal([])
  })

  it('ignores bytes of other writers', () => {
    // Guards against a malformed record that stops all loads, or sets a limit.
    const book = take(emptyBook, false, 0, { key: 'x', value: Buffer.from('not a lease') }, { key: LIMIT_KEY, value: Buffer.from([0xc1]) }, lease('m', 0, 1e12))
    expect(book).to.deep.equal(emptyBook)
  })

  it('takes the limit and when a load was last slowed', () => {
    const limit = encodeLimit({ fullSpeedCount: 3, slowedAtUnixMs: UNIX_MS - 5_000, failedTrialCount: 1, changeCount: 1 })
    expect(take(emptyBook, true, 0, limit).pace).to.deep.equal({ fullSpeedCount: 3, slowedAtMs: -5_000, failedTrialCount: 1 })
    const never = encodeLimit({ fullSpeedCount: 3, slowedAtUnixMs: 0, failedTrialCount: 0, changeCount: 0 })
    expect(take(emptyBook, true, 0, never).pace.slowedAtMs).to.equal(-Infinity)
  })

  it('names leases that expired long ago', () => {
    const book = take(emptyBook, true, 0, lease('m', LIFETIME_MS + DEAD_LEASE_MS + 1), lease('n', LIFETIME_MS + 1))
    expect(deadKeys(book, 0)).to.deep.equal(['m'])
  })
})
