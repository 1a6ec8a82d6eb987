import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'
import { ROUTER_RETENTION_MS } from '@figmount/decisions'

import { createRouterCensus } from './createRouterCensus.js'

const setUp = (...routers: readonly string[]) => {
  const timers = createVirtualTimers()
  const linked = [...routers]
  const census = createRouterCensus(timers, () => linked)
  const lose = (router: string): void => {
    linked.splice(linked.indexOf(router), 1)
    census.noteLost(router)
  }
  const link = (router: string): void => { linked.push(router) }
  return { timers, census, lose, link }
}

describe('an agent\'s census of routers', () => {
  it('counts a router once that has two links', () => {
    const { census, lose } = setUp('r0', 'r0', 'r1')
    expect(census.count()).to.equal(2)
    lose('r0')
    expect(census.count()).to.equal(2)
  })

  it('counts a router that is cut off for a while', () => {
    // Guards against routers that split a limit among those alone that are linked now.
    const { timers, census, lose } = setUp('r0', 'r1')
    lose('r1')
    timers.advance(ROUTER_RETENTION_MS)
    expect(census.count()).to.equal(2)
    timers.advance(1)
    expect(census.count()).to.equal(1)
  })

  it('counts a router once that starts again', () => {
    const { census, lose, link } = setUp('r0')
    lose('r0')
    link('r0')
    expect(census.count()).to.equal(1)
  })
})
