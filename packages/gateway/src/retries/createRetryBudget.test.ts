import { expect } from 'chai'
import { createMetrics, createVirtualTimers } from '@figmount/base'

import { createRetryBudget } from './createRetryBudget.js'

const LIMITS = { ratio: 0.2, windowMs: 10_000, slackCount: 40 }
const SERVICE = 's'

/** A router that has run for a window, with four retries to spend and none by its requests. */
const setUp = (upForMs = LIMITS.windowMs) => {
  const timers = createVirtualTimers()
  const startedMs = timers.nowMs()
  const membership = { routerCount: () => 5, countedForMs: () => timers.nowMs() - startedMs }
  const budget = createRetryBudget({ limits: LIMITS, timers, metrics: createMetrics(), membership })
  timers.advance(upForMs)
  const open = (priority = 1) => budget.openTurn(SERVICE, priority)
  return { timers, budget, open }
}

describe('the retry budget of a router', () => {
  it('is spent until a retry has left the window', () => {
    const { timers, open } = setUp()
    for (let count = 0; count < 4; count++) open().take().noteArrival('certain')
    expect(open().waitMs()).to.equal(LIMITS.windowMs)
    timers.advance(LIMITS.windowMs)
    expect(open().waitMs()).to.equal(0)
  })

  it('counts a retry that may still arrive for longer', () => {
    // Guards against retries on a link that stalls, which arrive together when it heals.
    const { timers, budget, open } = setUp()
    open().take()
    open().take().noteArrival('unknown')
    open().take().noteArrival('none')
    expect(budget.inputs(SERVICE).retryCount).to.equal(2)
    timers.advance(LIMITS.windowMs)
    expect(budget.inputs(SERVICE).retryCount).to.equal(2)
    timers.advance(LIMITS.windowMs)
    expect(budget.inputs(SERVICE)).to.deep.include({ retryCount: 1, unansweredCount: 1 })
  })

  it('has one retry to spend at a start, and earns the next ones', () => {
    // Guards against a start that spends anew what its predecessor has spent.
    const { timers, budget, open } = setUp(0)
    budget.noteRequest(SERVICE)
    open().take().noteArrival('certain')
    expect(open().waitMs()).to.be.greaterThan(0)
    timers.advance(2_000)
    budget.noteRequest(SERVICE)
    expect(open().waitMs()).to.be.within(1, LIMITS.windowMs)
  })

  it('lets the most urgent request go first, and earlier ones before later ones', () => {
    const { timers, open } = setUp()
    for (let count = 0; count < 4; count++) {
      open().take().noteArrival('certain')
      timers.advance(1_000)
    }
    const turns = [3, 1, 1].map(priority => open(priority))
    for (const turn of turns) turn.wait()
    const soonestMs = LIMITS.windowMs - 4_000
    expect(turns.map(turn => turn.waitMs())).to.deep.equal([soonestMs + 2_000, soonestMs, soonestMs + 1_000])
  })

  it('forgets a request that no longer waits', () => {
    // Guards against a caller that has left and holds up those behind it.
    const { timers, open } = setUp()
    for (let count = 0; count < 4; count++) {
      open().take().noteArrival('certain')
      timers.advance(1_000)
    }
    const first = open()
    first.wait()
    expect(open().waitMs()).to.equal(LIMITS.windowMs - 3_000)
    first.end()
    expect(open().waitMs()).to.equal(LIMITS.windowMs - 4_000)
  })

  it('is kept for each service by itself', () => {
    const { budget, open } = setUp()
    for (let count = 0; count < 4; count++) open().take()
    expect(budget.openTurn('other', 1).waitMs()).to.equal(0)
  })
})
