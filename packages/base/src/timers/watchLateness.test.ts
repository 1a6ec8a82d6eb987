import { expect } from 'chai'

import { createEventLog } from '../events/createEventLog.js'
import { createMetrics } from '../metrics/createMetrics.js'
import { createVirtualTimers } from './createVirtualTimers.js'
import { watchLateness } from './watchLateness.js'

import type { InstanceName } from '../ids/types.js'

describe('watch of lateness', () => {
  it('counts how late timers run, and logs more than a tenth of a second', () => {
    // Guards against a process that reads late without a trace in its log.
    const timers = createVirtualTimers()
    let skippedMs = 0
    const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
    const metrics = createMetrics()
    watchLateness({ ...timers, nowMs: () => timers.nowMs() + skippedMs }, events, metrics)
    timers.advance(1_000)
    expect(events.recent()).to.have.length(0)
    skippedMs += 40
    timers.advance(250)
    skippedMs += 160
    timers.advance(250)
    expect(events.recent().map(({ name, durationMs }) => [name, durationMs])).to.deep.equal([['processLate', 160]])
    expect(metrics.lines().find(({ name }) => name === 'late_ms_total')?.value).to.equal(200)
  })
})
