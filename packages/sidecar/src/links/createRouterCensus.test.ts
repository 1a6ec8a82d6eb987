import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'
import { ROUTER_RETENTION_MS } from '@figmount/decisions'

import { createRouterCensus } from './createRouterCensus.js'

const setUp = (...routers: readonly string[]) => {
  const timers = createVirtualTimers()
  const census = createRouterCensus(timers)
  for (const router of routers) census.noteLinked(router)
  return { timers, census }
}

describe('an agent\'s census of routers', () => {
  it('counts a router once that has two links', () => {
    const { census } = setUp('r0', 'r0', 'r1')
    expect(census.count()).to.equal(2)
    census.noteLost('r0')
    expect(census.count()).to.equal(2)
  })

  it('counts a router that is cut off for a while', () => {
    // Guards against routers that split a limit among those alone that are linked now.
    const { timers, census } = setUp('r0', 'r1')
    census.noteLost('r1')
    timers.advance(ROUTER_RETENTION_MS)
    expect(census.count()).to.equal(2)
    timers.advance(1)
    expect(census.count()).to.equal(1)
  })

  it('counts a router once that starts again', () => {
    const { census } = setUp('r0')
    census.noteLost('r0')
    census.noteLinked('r0')
    expect(census.count()).to.equal(1)
  })
})
