import { expect } from 'chai'
import fc from 'fast-check'

import { chooseLimiter } from './chooseLimiter.js'
import { makeRandom } from '../simulation/makeRandom.js'
import { emptyBucket, fullBucket, needAll, needNoDebt, refill, resizeBucket, shareOfLimit, takeUnits } from './takeUnits.js'

import type { NeededUnits, RateLimit, TokenBucket } from './types.js'

const LIMIT: RateLimit = { unitsPerS: 1_000, burstUnits: 1_000 }
const MAX_WAIT_MS = 200

interface Passed {
  readonly atMs: number
  readonly units: number
}

/** Maximum units that passed within any window of this length. */
const maxUnitsWithin = (passed: readonly Passed[], windowMs: number): number => {
  let maxUnits = 0
  for (const { atMs } of passed) {
    const within = passed.filter(other => other.atMs >= atMs && other.atMs <= atMs + windowMs)
    maxUnits = Math.max(maxUnits, within.reduce((sum, { units }) => sum + units, 0))
  }
  return maxUnits
}

describe('an organisation\'s limit', () => {
  it('lets an organisation that exceeds its limit through at its rate', () => {
    let bucket = fullBucket(LIMIT, 0)
    let passedUnits = 0
    for (let atMs = 0; atMs < 8_000; atMs += 10) {
      const taking = takeUnits(bucket, LIMIT, { units: 60, maxWaitMs: MAX_WAIT_MS }, needNoDebt, atMs)
      bucket = taking.bucket
      if (taking.isTaken) passedUnits += 60
    }
    expect(passedUnits).to.be.within(8_500, 9_300)
  })

  it('returns the time after which a refused request fits', () => {
    for (const [needed, retryAfterMs] of [[needAll, 500], [needNoDebt, 300]] as const) {
      const inDebt = { levelUnits: needed === needAll ? 0 : -300, asOfMs: 0 }
      const refused = takeUnits(inDebt, LIMIT, { units: 500, maxWaitMs: MAX_WAIT_MS }, needed, 0)
      expect(refused).to.deep.include({ isTaken: false, retryAfterMs })
      expect(takeUnits(refused.bucket, LIMIT, { units: 500, maxWaitMs: 0 }, needed, retryAfterMs).isTaken).to.equal(true)
    }
  })

  it('serves a request that is larger than the burst', () => {
    // Guards against large requests that are always refused.
    for (const needed of [needAll, needNoDebt]) {
      const taking = takeUnits(fullBucket(LIMIT, 0), LIMIT, { units: 5_000, maxWaitMs: 0 }, needed, 0)
      expect(taking.isTaken).to.equal(true)
      expect(takeUnits(taking.bucket, LIMIT, { units: 10, maxWaitMs: MAX_WAIT_MS }, needed, 1_000).isTaken).to.equal(false)
    }
  })

  it('gives large and small requests of an organisation above its limit the same chance', () => {
    // Guards against one kind of request being refused because of the organisation's other requests.
    const shareServed = (needed: NeededUnits, units: number): number => {
      const random = makeRandom(3)
      let bucket = fullBucket(LIMIT, 0)
      let requestCount = 0
      let served = 0
      for (let atMs = 0; atMs < 60_000; atMs += 20) {
        const size = random() < 0.3 ? 300 : 20
        const taking = takeUnits(bucket, LIMIT, { units: size, maxWaitMs: 0 }, needed, atMs)
        bucket = taking.bucket
        if (size !== units) continue
        requestCount += 1
        served += Number(taking.isTaken)
      }
      return served / requestCount
    }
    expect(shareServed(needAll, 20) - shareServed(needAll, 300)).to.be.above(0.3)
    expect(shareServed(needNoDebt, 20)).to.be.closeTo(shareServed(needNoDebt, 300), 0.05)
  })

  it('lets the second of two close requests wait instead of refusing it', () => {
    const first = takeUnits(emptyBucket(0), LIMIT, { units: 100, maxWaitMs: MAX_WAIT_MS }, needNoDebt, 0)
    const second = takeUnits(first.bucket, LIMIT, { units: 100, maxWaitMs: MAX_WAIT_MS }, needNoDebt, 0)
    expect([first, second].map(taking => taking.isTaken && taking.waitMs)).to.deep.equal([0, 100])
  })

  it('is never exceeded by the shares together, however routers move between limiters', () => {
    // Guards against units that are counted twice when limiters crash, are partitioned and return.
    const routerCount = 5
    const LIMITER_COUNT = 3
    const LARGEST = 300
    const step = fc.record({ waitMs: fc.integer({ min: 0, max: 400 }), router: fc.nat(routerCount - 1), limiter: fc.nat(LIMITER_COUNT - 1), units: fc.integer({ min: 1, max: LARGEST }), moves: fc.boolean() })
    fc.assert(fc.property(fc.array(step, { maxLength: 150 }), steps => {
      const chosen = new Map<number, number>()
      const buckets = new Map<number, TokenBucket>()
      const sizeOf = (limiter: number): number => [...chosen.values()].filter(other => other === limiter).length
      const passed: Passed[] = []
      let nowMs = 0
      for (const { waitMs, router, limiter, units, moves } of steps) {
        nowMs += waitMs
        const before = chosen.get(router)
        if (before === undefined || moves) {
          if (before !== undefined) {
            const size = sizeOf(before)
            buckets.set(before, resizeBucket(buckets.get(before) ?? emptyBucket(nowMs), size, size - 1))
          }
          chosen.set(router, limiter)
          // Until now the limiter's bucket was refilled according to its old size.
          const size = sizeOf(limiter) - 1
          const known = buckets.get(limiter) ?? emptyBucket(nowMs)
          buckets.set(limiter, size === 0 ? emptyBucket(nowMs) : refill(known, shareOfLimit(LIMIT, size / routerCount), nowMs))
        }
        const at = chosen.get(router) ?? 0
        const share = shareOfLimit(LIMIT, sizeOf(at) / routerCount)
        const taking = takeUnits(buckets.get(at) ?? emptyBucket(nowMs), share, { units, maxWaitMs: 0 }, needNoDebt, nowMs)
        buckets.set(at, taking.bucket)
        if (taking.isTaken) passed.push({ atMs: nowMs, units })
      }
      // Each limiter may go into debt by one request.
      expect(maxUnitsWithin(passed, 8_000)).to.be.at.most(LIMIT.unitsPerS * 8 + LIMIT.burstUnits + LIMITER_COUNT * LARGEST)
    }), { seed: 7, numRuns: 200 })
  })

  it('is held by the same process for all routers that reach the same processes', () => {
    const reached = ['a', 'b', 'c', 'd']
    expect(chooseLimiter('o', reached)).to.equal(chooseLimiter('o', [...reached].reverse()))
    const first = chooseLimiter('o', reached)
    expect(chooseLimiter('o', reached.filter(name => name !== first))).to.not.equal(first)
  })
})
