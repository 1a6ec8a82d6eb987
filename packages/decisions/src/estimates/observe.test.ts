import { expect } from 'chai'

import { initialEstimate, initialModelEstimates, observe, observeWait, upperBound } from './observe.js'

describe('estimates', () => {
  it('replace the initial value by the first observation', () => {
    expect(observe(initialEstimate(500), 100)).to.deep.equal({ mean: 100, deviation: 50, observedCount: 1 })
  })

  it('bound nine in ten of the observed values', () => {
    let estimate = initialEstimate(1)
    let coveredCount = 0
    for (let index = 0; index < 1_000; index++) {
      const value = 100 + (index * 37) % 50
      if (index >= 100 && value <= upperBound(estimate)) coveredCount += 1
      estimate = observe(estimate, value)
    }
    expect(coveredCount / 900).to.be.above(0.9)
  })

  it('measure their own error', () => {
    let estimates = initialModelEstimates(100, 30, 20_000)
    for (let index = 0; index < 50; index++) estimates = observeWait(estimates, 9_000, 19_000)
    expect(estimates.waitRatio.mean).to.be.closeTo(2, 0.01)
    expect(observeWait(initialModelEstimates(1, 1, 1), 0, 300).waitRatio.mean).to.equal(1.3)
  })
})
