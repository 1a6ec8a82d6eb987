import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createLimiters } from './createLimiters.js'

import type { RateLimit } from '@figmount/decisions'
import type { Limiters } from './createLimiters.js'

const LIMIT: RateLimit = { unitsPerS: 1_000, burstUnits: 1_000 }

const setUp = (isFirstStart = false) => {
  const timers = createVirtualTimers()
  let limit: RateLimit | undefined = LIMIT
  const limiters = createLimiters({ timers, limitOf: name => name === 'acme' ? limit : undefined, isFirstStart })
  return { timers, limiters, setLimit: (next: RateLimit | undefined) => { limit = next } }
}

const choose = (limiters: Limiters, router: string, routerCount: number): void => { limiters.choose(router, { organisations: ['acme'], routerCount }) }

const ask = (limiters: Limiters, router: string, units: number, maxWaitMs = 0) =>
  limiters.ask(router, { type: 'unitsAsked', askId: 1, organisation: 'acme', units, maxWaitMs })

/** Number of requests, out of ten at the same time, that get their units. */
const countTaken = (limiters: Limiters, router: string, units: number): number => {
  let takenCount = 0
  for (let index = 0; index < 10; index++) takenCount += Number(ask(limiters, router, units).outcome === 'taken')
  return takenCount
}

describe('createLimiters', () => {
  it('begins with full buckets when the whole system starts, with empty ones otherwise', () => {
    // Guards against a restarted agent that admits a whole burst again.
    for (const isFirstStart of [true, false]) {
      const { limiters } = setUp(isFirstStart)
      choose(limiters, 'r1', 1)
      expect(countTaken(limiters, 'r1', 200)).to.equal(isFirstStart ? 6 : 1)
    }
  })

  it('gives a bucket the share of the limit that its routers make up among all routers', () => {
    // Guards against two limiters of one organisation that each admit its full limit.
    const { timers, limiters } = setUp()
    choose(limiters, 'r1', 4)
    timers.advance(10_000)
    expect(countTaken(limiters, 'r1', 100)).to.equal(3)
    expect(ask(limiters, 'r1', 100)).to.deep.include({ outcome: 'refused', waitMs: 200 })
    for (const router of ['r2', 'r3', 'r4']) choose(limiters, router, 4)
    timers.advance(10_000)
    expect(countTaken(limiters, 'r3', 200)).to.equal(6)
  })

  it('stops counting for a router that chose another limiter, and gives up its share', () => {
    const { timers, limiters } = setUp()
    for (const router of ['r1', 'r2']) choose(limiters, router, 2)
    timers.advance(10_000)
    limiters.choose('r2', { organisations: [], routerCount: 2 })
    expect(ask(limiters, 'r2', 1).outcome).to.equal('unknown')
    expect(countTaken(limiters, 'r1', 100)).to.equal(6)
    limiters.dropRouter('r1')
    expect(ask(limiters, 'r1', 1).outcome).to.equal('unknown')
  })

  it('applies a lower limit as soon as it is in force', () => {
    const { timers, limiters, setLimit } = setUp()
    choose(limiters, 'r1', 1)
    timers.advance(10_000)
    setLimit({ unitsPerS: 10, burstUnits: 10 })
    expect(countTaken(limiters, 'r1', 10)).to.equal(2)
    setLimit(undefined)
    expect(ask(limiters, 'r1', 10).outcome).to.equal('unknown')
  })

  it('adds returned units to the bucket', () => {
    const { timers, limiters } = setUp()
    choose(limiters, 'r1', 1)
    timers.advance(10_000)
    expect(countTaken(limiters, 'r1', 200)).to.equal(6)
    limiters.returnUnits('r1', { type: 'unitsReturned', organisation: 'acme', units: 400 })
    expect(countTaken(limiters, 'r1', 200)).to.equal(2)
  })
})
