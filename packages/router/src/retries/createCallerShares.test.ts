import { expect } from 'chai'

import { createCallerShares } from './createCallerShares.js'

import type { CallerName } from '@figmount/base'

const BUSY = 'hot' as CallerName
const QUIET = 'quiet' as CallerName

describe('caller shares', () => {
  // One caller sends without pause. Once the router is half full, that caller must be limited to its
  // share, so that another caller is still admitted.
  it('leave capacity for others beside a caller with high load', () => {
    const shares = createCallerShares(100)
    let entered = 0
    for (let send = 0; send < 1_000; send += 1) if (shares.enter(BUSY, 1)) entered += 1
    expect(entered).to.equal(100)
    for (let left = 0; left < 60; left += 1) shares.leave(BUSY)
    for (let send = 0; send < 30; send += 1) expect(shares.enter(QUIET, 1)).to.equal(true)
    expect(shares.enter(BUSY, 1)).to.equal(true)
    for (let send = 0; send < 1_000; send += 1) shares.enter(BUSY, 1)
    for (let send = 0; send < 20; send += 1) expect(shares.enter(QUIET, 1)).to.equal(true)
    expect(shares.enter(BUSY, 1)).to.equal(false)
  })
})
