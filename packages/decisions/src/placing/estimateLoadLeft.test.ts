import { expect } from 'chai'

import { estimateLoadLeftMs } from './estimateLoadLeft.js'

describe('time that a load still takes', () => {
  it('counts down with the age of what was told', () => {
    expect(estimateLoadLeftMs({ leftMs: 5_000, runningMs: 1_000, ageMs: 2_000 })).to.equal(3_000)
  })

  it('is not nothing for a load that is late', () => {
    // Guards against callers who wait for a load that is always about to end.
    expect(estimateLoadLeftMs({ leftMs: 13_200, runningMs: 1, ageMs: 13_300 })).to.be.above(6_000)
  })
})
