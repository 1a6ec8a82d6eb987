import { expect } from 'chai'

import { countsAsFailure, failureShareAt, noFailures, noteOutcome } from './failureShare.js'

describe('failure shares', () => {
  it('grow with failures and decay without requests', () => {
    let failures = noFailures(0)
    for (let count = 0; count < 8; count++) failures = noteOutcome(failures, true, 0)
    expect(failureShareAt(failures, 0)).to.be.greaterThan(0.85)
    expect(failureShareAt(failures, 20_000)).to.be.lessThan(0.01)
  })

  it('detect two failures in five', () => {
    let failures = noFailures(0)
    for (let count = 0; count < 50; count++) failures = noteOutcome(failures, count % 5 < 2, 0)
    expect(failureShareAt(failures, 0)).to.be.within(0.2, 0.7)
  })
})

describe('outcomes', () => {
  const outcome = { hasFailed: false, hasLeft: false, isSilent: true, waitedMs: 2_400 }

  it('count a caller that left a server without an answer', () => {
    // The connection to a server stalls. No request fails, but callers leave after 2.4 s each, and the server must not seem healthy.
    expect(countsAsFailure({ ...outcome, hasLeft: true })).to.equal(true)
  })

  it('don\'t count a caller that left early or during an answer', () => {
    expect(countsAsFailure({ ...outcome, hasLeft: true, waitedMs: 300 })).to.equal(false)
    expect(countsAsFailure({ ...outcome, hasLeft: true, isSilent: false })).to.equal(false)
  })

  it('count failures', () => {
    expect(countsAsFailure({ ...outcome, hasFailed: true })).to.equal(true)
    expect(countsAsFailure(outcome)).to.equal(false)
  })
})
