import { expect } from 'chai'

import { createCallerShares } from './createCallerShares.js'

import type { CallerName } from '@figmount/base'

const HOT = 'hot' as CallerName
const QUIET = 'quiet' as CallerName

describe('shares of callers', () => {
  // One caller sends without pause. When the router is half full it gets no more than its
  // share, and the other one still finds places.
  it('leave room beside a hot caller', () => {
    const shares = createCallerShares(100)
    let entered = 0
    for (let send = 0; send < 1_000; send += 1) if (shares.enter(HOT, 1)) entered += 1
    expect(entered).to.equal(100)
    for (let left = 0; left < 60; left += 1) shares.leave(HOT)
    for (let send = 0; send < 30; send += 1) expect(shares.enter(QUIET, 1)).to.equal(true)
    expect(shares.enter(HOT, 1)).to.equal(true)
    for (let send = 0; send < 1_000; send += 1) shares.enter(HOT, 1)
    for (let send = 0; send < 20; send += 1) expect(shares.enter(QUIET, 1)).to.equal(true)
    expect(shares.enter(HOT, 1)).to.equal(false)
  })
})
