import { expect } from 'chai'

import { creditSend, fullBudget, spendBoth, spendRetry } from './budget.js'
import { hedgeWithinBudget } from './hedge.js'
import { spreadByDrainTime } from './spreadByDrainTime.js'

import type { RetryBudget } from './budget.js'

const spent = (nowMs: number): RetryBudget => ({ tokens: 0, asOfMs: nowMs })

describe('retries', () => {
  it('are spread over the time that it takes to serve all refused callers', () => {
    const view = { estimatedWaitMs: 2_000, recentRefusals: 400, servedPerSecond: 20, resendCount: 0 }
    const times = [0, 0.25, 0.5, 0.75].map(drawn => spreadByDrainTime(view, () => drawn))
    expect(times).to.deep.equal([2_000, 8_250, 14_500, 20_750])
  })

  it('are spread wider with each resend, up to a limit', () => {
    const view = { estimatedWaitMs: 0, recentRefusals: 0, servedPerSecond: 0 }
    const times = [0, 1, 2, 5, 50].map(resendCount => spreadByDrainTime({ ...view, resendCount }, () => 1))
    expect(times).to.deep.equal([600, 1_000, 1_800, 13_000, 13_000])
  })

  it('are limited to a tenth of the first sends', () => {
    let budget = spent(0)
    let retried = 0
    for (let send = 0; send < 1_000; send++) {
      budget = creditSend(budget, 0)
      const left = spendRetry(budget, 0)
      if (left) retried += 1
      budget = left ?? budget
    }
    expect(retried).to.be.within(99, 100)
  })

  it('spend from both budgets or from neither', () => {
    expect(spendBoth(fullBudget(0), spent(0), 0)).to.equal(undefined)
    expect(spendBoth(fullBudget(0), fullBudget(0), 0)?.caller.tokens).to.equal(9)
  })

  it('hedge only requests that are late, repeatable and within budget', () => {
    const view = {
      isRepeatable: true, waitedMs: 900, p99FirstTokenMs: 700, hasOtherReady: true, caller: fullBudget(0), service: fullBudget(0)
    }
    expect(hedgeWithinBudget(view, 0)).not.to.equal(undefined)
    expect(hedgeWithinBudget({ ...view, isRepeatable: false }, 0)).to.equal(undefined)
    expect(hedgeWithinBudget({ ...view, waitedMs: 600 }, 0)).to.equal(undefined)
    expect(hedgeWithinBudget({ ...view, service: spent(0) }, 0)).to.equal(undefined)
  })
})
