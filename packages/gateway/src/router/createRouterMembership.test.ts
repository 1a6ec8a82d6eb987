import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createRouterMembership } from './createRouterMembership.js'

const setUp = () => {
  const timers = createVirtualTimers()
  let isCounted = true
  const membership = createRouterMembership(timers, () => isCounted)
  return { timers, membership, setCounted: (next: boolean) => { isCounted = next } }
}

describe('what a router knows of the number of routers', () => {
  it('is at least four, and the highest heard of for minutes', () => {
    // Guards against routers that start together and hear of few, and against those that are cut off from most.
    const { timers, membership } = setUp()
    expect([membership.routerCount(), membership.isKnown()]).to.deep.equal([4, false])
    membership.note(1)
    expect([membership.routerCount(), membership.isKnown()]).to.deep.equal([4, true])
    membership.note(12)
    timers.advance(300_000)
    membership.note(2)
    expect(membership.routerCount()).to.equal(12)
    timers.advance(600_000)
    membership.note(5)
    expect(membership.routerCount()).to.equal(5)
  })

  it('includes the time for which it has been counted, over short gaps', () => {
    const { timers, membership, setCounted } = setUp()
    timers.advance(5_000)
    setCounted(false)
    timers.advance(10_000)
    setCounted(true)
    timers.advance(5_000)
    expect(membership.countedForMs()).to.be.within(19_000, 20_000)
  })

  it('ends before the others may have forgotten it, and begins anew', () => {
    // Guards against a router that is cut off and uses a part of which the others no longer know.
    const { timers, membership, setCounted } = setUp()
    timers.advance(5_000)
    setCounted(false)
    timers.advance(16_000)
    expect(membership.countedForMs()).to.equal(0)
    setCounted(true)
    timers.advance(2_000)
    expect(membership.countedForMs()).to.be.within(1_000, 2_000)
  })
})
