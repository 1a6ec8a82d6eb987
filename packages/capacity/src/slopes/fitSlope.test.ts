import { expect } from 'chai'

import { fitSlope } from './fitSlope.js'

import type { Measurement } from './types.js'

const measured = (...values: readonly number[]): Measurement => ({
  name: 'n', unit: 'us', per: 'links', method: 'm', points: values.map((value, index) => ({ size: index + 1, value }))
})

describe('slope', () => {
  it('is exact on a line', () => {
    const slope = fitSlope(measured(12, 14, 16, 18)).unsafeCoerce()
    expect(slope.slope).to.be.closeTo(2, 1e-9)
    expect(slope.intercept).to.be.closeTo(10, 1e-9)
    expect(slope.slopeError).to.be.closeTo(0, 1e-9)
  })

  it('has an error on scattered points', () => {
    expect(fitSlope(measured(12, 15, 15, 18)).unsafeCoerce().slopeError).to.be.greaterThan(0.1)
  })

  it('cannot be fitted to fewer than four sizes', () => {
    expect(fitSlope(measured(1, 2, 3)).isLeft()).to.equal(true)
  })
})
