import { expect } from 'chai'
import fc from 'fast-check'

import { admitByDeadline } from './admitByDeadline.js'

import type { AdmissionView } from './types.js'

const view: AdmissionView = {
  remainingMs: 30_000,
  expectedTokens: 100,
  priority: 5,
  readyInMs: 0,
  secondsAhead: 0,
  tokenIntervalMs: 30,
  queuedCount: 0,
  maxQueuedCount: 100
}
const half = (): number => 0.5

describe('admission', () => {
  it('admits requests that end before their deadline and refuses others', () => {
    expect(admitByDeadline({ ...view, secondsAhead: 26 }, half)).to.deep.equal({ kind: 'admit', estimatedWaitMs: 26_000 })
    expect(admitByDeadline({ ...view, secondsAhead: 28 }, half).kind).to.equal('refuse')
    expect(admitByDeadline({ ...view, readyInMs: 40_000 }, half).kind).to.equal('refuse')
  })

  // A model loads for 12 s and its callers have a deadline of 10 s. The server has refused many requests recently. Guards
  // against a retry time of up to a minute, during which the loaded model is idle and its callers wait.
  it('asks callers of a loading model to retry when it is ready, however many were refused', () => {
    const crowded = { ...view, remainingMs: 10_000, readyInMs: 12_000, recentRefusals: 100, servedPerSecond: 1, resendCount: 3 }
    const verdict = admitByDeadline(crowded, () => 1)
    expect(verdict.kind === 'refuse' && verdict.retryAfterMs).to.be.within(5_000, 6_000)
    const queued = admitByDeadline({ ...crowded, readyInMs: 0, secondsAhead: 12 }, () => 1)
    expect(queued.kind === 'refuse' && queued.retryAfterMs).to.be.above(60_000)
  })

  it('reserves the end of the queue for high priorities', () => {
    expect(admitByDeadline({ ...view, queuedCount: 80, priority: 0 }, half).kind).to.equal('refuse')
    expect(admitByDeadline({ ...view, queuedCount: 80, priority: 9 }, half).kind).to.equal('admit')
    expect(admitByDeadline({ ...view, queuedCount: 100, priority: 9 }, half).kind).to.equal('refuse')
  })

  it('never admits a request past its deadline and always gives a retry time', () => {
    const views = fc.record({
      remainingMs: fc.nat(100_000), secondsAhead: fc.nat(200), readyInMs: fc.nat(60_000), queuedCount: fc.nat(120), priority: fc.nat(9)
    })
    fc.assert(fc.property(views, over => {
      const verdict = admitByDeadline({ ...view, ...over }, half)
      if (verdict.kind === 'refuse') return verdict.retryAfterMs > 0 && verdict.detail !== ''
      return verdict.estimatedWaitMs + 3_000 <= over.remainingMs
    }), { seed: 5, numRuns: 500 })
  })
})
