import { expect } from 'chai'
import fc from 'fast-check'

import { countsAsFailure, failureShareAt, noFailures, noteOutcome } from './failureShare.js'
import { mayRepeat } from './retryAllowance.js'

const LIMITS = { ratio: 0.2, windowMs: 10_000, slackCount: 54 }

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

describe('repeats', () => {
  it('stay within the limit for all routers together', () => {
    // Guards against a service that is overloaded by the repeats of all routers together.
    const step = fc.record({ router: fc.integer({ min: 0, max: 3 }), isRepeat: fc.boolean(), pauseMs: fc.integer({ min: 0, max: 300 }) })
    fc.assert(fc.property(fc.array(step, { maxLength: 400 }), steps => {
      const routers = [0, 1, 2, 3].map(() => ({ requestTimesMs: [] as number[], repeatTimesMs: [] as number[] }))
      let nowMs = 0
      for (const { router, isRepeat, pauseMs } of steps) {
        nowMs += pauseMs
        const history = routers[router]
        if (!history) continue
        if (!isRepeat) history.requestTimesMs.push(nowMs)
        else if (mayRepeat(LIMITS, history, routers.length, nowMs)) history.repeatTimesMs.push(nowMs)
      }
      const since = (times: readonly number[]): number => times.filter(timeMs => timeMs > nowMs - LIMITS.windowMs).length
      const requests = routers.reduce((sum, history) => sum + since(history.requestTimesMs), 0)
      const repeats = routers.reduce((sum, history) => sum + since(history.repeatTimesMs), 0)
      expect(repeats).to.be.at.most(requests * LIMITS.ratio + LIMITS.slackCount)
    }), { seed: 7, numRuns: 200 })
  })

  it('are allowed for a router that has served few requests', () => {
    expect(mayRepeat(LIMITS, { requestTimesMs: [], repeatTimesMs: [] }, 4, 0)).to.equal(true)
  })
})
