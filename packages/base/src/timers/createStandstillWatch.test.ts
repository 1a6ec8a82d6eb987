import { expect } from 'chai'

import { createStandstillWatch } from './createStandstillWatch.js'
import { createVirtualTimers } from './createVirtualTimers.js'

/** A watch whose timers do not run while `skip` moves its clocks. */
const setUp = () => {
  const timers = createVirtualTimers()
  const notedMs: number[] = []
  let skippedMs = 0
  let skippedUnixMs = 0
  const watch = createStandstillWatch({
    ...timers,
    nowMs: () => timers.nowMs() + skippedMs,
    unixMs: () => timers.unixMs() + skippedUnixMs
  }, durationMs => { notedMs.push(durationMs) })
  const skip = (monotonicMs: number, wallMs: number): void => {
    skippedMs += monotonicMs
    skippedUnixMs += wallMs
  }
  return { timers, watch, notedMs, skip }
}

describe('standstill watch', () => {
  it('sees none while its timers run', () => {
    const { timers, watch, notedMs } = setUp()
    timers.advance(10_000)
    expect(watch.wokeMs()).to.equal(-Infinity)
    expect(notedMs).to.deep.equal([])
  })

  it('sees one before its timers have run again', () => {
    // Guards against requests that are judged by what was known before a standstill.
    const { timers, watch, notedMs, skip } = setUp()
    timers.advance(1_000)
    skip(700, 700)
    expect(watch.wokeMs()).to.equal(1_700)
    expect(notedMs).to.deep.equal([700])
  })

  it('sees a suspended machine by its wall clock', () => {
    const { timers, watch, skip } = setUp()
    timers.advance(1_000)
    skip(0, 5_000)
    expect(watch.wokeMs()).to.equal(1_000)
  })

  it('takes no step of the wall clock backwards for one', () => {
    const { timers, watch, skip } = setUp()
    timers.advance(1_000)
    skip(0, -5_000)
    timers.advance(1_000)
    expect(watch.wokeMs()).to.equal(-Infinity)
  })
})
