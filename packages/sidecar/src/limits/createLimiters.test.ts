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

/** How many of ten requests that come at once take their units. */
const takenOf = (limiters: Limiters, router: string, units: number): number => {
  let takenCount = 0
  for (let asked = 0; asked < 10; asked++) takenCount += Number(ask(limiters, router, units).outcome === 'taken')
  return takenCount
}

describe('limiters of an agent', () => {
  it('begin full with the whole system and empty later', () => {
    // Guards against a restarted agent that lets a whole burst through once more.
    for (const isFirstStart of [true, false]) {
      const { limiters } = setUp(isFirstStart)
      choose(limiters, 'r1', 1)
      expect(takenOf(limiters, 'r1', 200)).to.equal(isFirstStart ? 6 : 1)
    }
  })

  it('have the part of the limit that their routers are of all', () => {
    // Guards against two limiters of one organisation that each let all of its limit through.
    const { timers, limiters } = setUp()
    choose(limiters, 'r1', 4)
    timers.advance(10_000)
    expect(takenOf(limiters, 'r1', 100)).to.equal(3)
    expect(ask(limiters, 'r1', 100)).to.deep.include({ outcome: 'refused', waitMs: 200 })
    for (const router of ['r2', 'r3', 'r4']) choose(limiters, router, 4)
    timers.advance(10_000)
    expect(takenOf(limiters, 'r3', 200)).to.equal(6)
  })

  it('count nothing for a router that chose another one, and give its part up', () => {
    const { timers, limiters } = setUp()
    for (const router of ['r1', 'r2']) choose(limiters, router, 2)
    timers.advance(10_000)
    limiters.choose('r2', { organisations: [], routerCount: 2 })
    expect(ask(limiters, 'r2', 1).outcome).to.equal('unknown')
    expect(takenOf(limiters, 'r1', 100)).to.equal(6)
    limiters.dropRouter('r1')
    expect(ask(limiters, 'r1', 1).outcome).to.equal('unknown')
  })

  it('hold a lower limit as soon as it is in force', () => {
    const { timers, limiters, setLimit } = setUp()
    choose(limiters, 'r1', 1)
    timers.advance(10_000)
    setLimit({ unitsPerS: 10, burstUnits: 10 })
    expect(takenOf(limiters, 'r1', 10)).to.equal(2)
    setLimit(undefined)
    expect(ask(limiters, 'r1', 10).outcome).to.equal('unknown')
  })

  it('take back what has not run', () => {
    const { timers, limiters } = setUp()
    choose(limiters, 'r1', 1)
    timers.advance(10_000)
    expect(takenOf(limiters, 'r1', 200)).to.equal(6)
    limiters.giveBack('r1', { type: 'unitsReturned', organisation: 'acme', units: 400 })
    expect(takenOf(limiters, 'r1', 200)).to.equal(2)
  })
})
