import { expect } from 'chai'

import { estimateLoadLeftMs } from './estimateLoadLeft.js'

describe('estimateLoadLeftMs', () => {
  it('decreases with the age of the report', () => {
    expect(estimateLoadLeftMs({ leftMs: 5_000, runningMs: 1_000, ageMs: 2_000 })).to.equal(3_000)
  })

  it('is not 0 for an overdue load', () => {
    // Guards against callers that keep waiting for a load that is always expected to end at once.
    expect(estimateLoadLeftMs({ leftMs: 13_200, runningMs: 1, ageMs: 13_300 })).to.be.above(6_000)
  })
})
