import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { DRAIN_MARGIN_MS, LAME_DUCK_MS, MIN_ANSWER_MS } from './constants.js'
import { createStop } from './createStop.js'
import { limitWait } from './limitWait.js'

const STOP_MS = 8_000
const OBJECTIVE_MS = 500
const LAST_SEND_MS = STOP_MS - DRAIN_MARGIN_MS - MIN_ANSWER_MS

/** A wait that is expected to end after `readyAtMs`; `gaveUpMs` returns when it was given up. */
const setUp = (readyAtMs: number) => {
  const timers = createVirtualTimers()
  const stop = createStop(timers, STOP_MS)
  let gaveUpMs: number | undefined
  const release = limitWait({ stop, timers, lastSendMs: () => stop.lastSendMs(OBJECTIVE_MS), readyAtMs, giveUp: () => { gaveUpMs = timers.nowMs() } })
  return { timers, stop, release, gaveUpMs: () => gaveUpMs }
}

describe('a stop', () => {
  it('limits nothing before it is requested', () => {
    const stop = createStop(createVirtualTimers(), STOP_MS)
    expect(stop.lastSendMs(OBJECTIVE_MS)).to.equal(Infinity)
    expect(stop.isClosing()).to.equal(false)
  })

  it('lets the router take requests until the balancer has noticed', () => {
    const timers = createVirtualTimers()
    const stop = createStop(timers, STOP_MS)
    stop.ask()
    timers.advance(LAME_DUCK_MS - 1)
    expect(stop.isClosing()).to.equal(false)
    timers.advance(1)
    expect(stop.isClosing()).to.equal(true)
  })

  it('keeps its end when it is requested twice', () => {
    const timers = createVirtualTimers()
    const stop = createStop(timers, STOP_MS)
    stop.ask()
    timers.advance(1_000)
    stop.ask()
    expect(stop.endsInMs()).to.equal(STOP_MS - DRAIN_MARGIN_MS - 1_000)
  })

  it('reserves more time for requests with a longer objective', () => {
    const stop = createStop(createVirtualTimers(), STOP_MS)
    stop.ask()
    expect(stop.lastSendMs(OBJECTIVE_MS)).to.equal(LAST_SEND_MS)
    expect(stop.lastSendMs(MIN_ANSWER_MS + 500)).to.equal(LAST_SEND_MS - 500)
  })

  it('reserves more time for answers that are known to take longer, and no less for shorter ones', () => {
    const stop = createStop(createVirtualTimers(), STOP_MS)
    stop.ask()
    expect(stop.lastSendMs(OBJECTIVE_MS, () => MIN_ANSWER_MS + 1_000)).to.equal(LAST_SEND_MS - 1_000)
    expect(stop.lastSendMs(OBJECTIVE_MS, () => 40)).to.equal(LAST_SEND_MS)
  })

  it('allows retries of requests that have run until the end', () => {
    const stop = createStop(createVirtualTimers(), STOP_MS)
    expect(stop.lastRetryMs()).to.equal(Infinity)
    stop.ask()
    expect(stop.lastRetryMs()).to.equal(STOP_MS - DRAIN_MARGIN_MS)
  })
})

describe('a wait at a router that stops', () => {
  it('continues while no stop is requested', () => {
    const { timers, gaveUpMs } = setUp(60_000)
    timers.advance(60_000)
    expect(gaveUpMs()).to.equal(undefined)
  })

  it('ends at once if it is expected to outlast the stop', () => {
    const { timers, stop, gaveUpMs } = setUp(9_000)
    timers.advance(1_000)
    stop.ask()
    expect(gaveUpMs()).to.equal(1_000)
  })

  it('ends at the last time to send if it takes longer than expected', () => {
    const { timers, stop, gaveUpMs } = setUp(2_000)
    stop.ask()
    timers.advance(LAST_SEND_MS - 1)
    expect(gaveUpMs()).to.equal(undefined)
    timers.advance(1)
    expect(gaveUpMs()).to.equal(LAST_SEND_MS)
  })

  it('is also limited if it begins during a stop', () => {
    const timers = createVirtualTimers()
    const stop = createStop(timers, STOP_MS)
    stop.ask()
    let gaveUpCount = 0
    limitWait({ stop, timers, lastSendMs: () => stop.lastSendMs(OBJECTIVE_MS), readyAtMs: LAST_SEND_MS + 1, giveUp: () => { gaveUpCount += 1 } })
    expect(gaveUpCount).to.equal(1)
  })

  it('is not given up after it has ended', () => {
    const { timers, stop, release, gaveUpMs } = setUp(2_000)
    stop.ask()
    release()
    timers.advance(STOP_MS)
    expect(gaveUpMs()).to.equal(undefined)
  })
})
