import { expect } from 'chai'

import { beginProbe, extendRest, restLeftMs } from './serverRest.js'

describe('the rest that a server asks for', () => {
  it('lasts as long as it was asked for', () => {
    const rest = extendRest(undefined, 3_000, 1_000)
    expect(restLeftMs(rest, 1_000)).to.equal(3_000)
    expect(restLeftMs(rest, 3_999)).to.equal(1)
    expect(restLeftMs(rest, 4_000)).to.equal(0)
  })

  it('is not shortened by a later, shorter one', () => {
    expect(restLeftMs(extendRest(extendRest(undefined, 3_000, 0), 200, 1_000), 1_000)).to.equal(2_000)
  })

  it('lasts an hour at most', () => {
    // Guards against a server that is never used again.
    expect(restLeftMs(extendRest(undefined, 1e12, 0), 0)).to.equal(3_600_000)
  })

  it('ends with one request, whose answer the others wait for', () => {
    const rest = extendRest(undefined, 1_000, 0)
    const probed = beginProbe(rest, 1_000)
    expect(restLeftMs(probed, 1_100)).to.be.greaterThan(0)
    expect(restLeftMs(probed, 2_000)).to.equal(0)
    expect(beginProbe(rest, 500)).to.equal(rest)
  })
})
