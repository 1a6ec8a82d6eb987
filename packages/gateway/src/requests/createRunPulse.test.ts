import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createRunPulse } from './createRunPulse.js'

describe('the pulse of a run', () => {
  it('is silent before the first event', () => {
    expect(createRunPulse(createVirtualTimers()).isSilent()).to.equal(true)
  })

  it('goes on through pauses as long as the ones before', () => {
    // Guards against runs that are cut by a wrong report of their server's death between two events.
    const timers = createVirtualTimers()
    const pulse = createRunPulse(timers)
    for (let count = 0; count < 3; count++) {
      pulse.noteEvent()
      timers.advance(400)
    }
    expect(pulse.isSilent()).to.equal(false)
    timers.advance(201)
    expect(pulse.isSilent()).to.equal(true)
  })

  it('is silent soon after events that came often', () => {
    // Guards against streams that stay at a dead server.
    const timers = createVirtualTimers()
    const pulse = createRunPulse(timers)
    for (let count = 0; count < 10; count++) {
      timers.advance(10)
      pulse.noteEvent()
    }
    timers.advance(151)
    expect(pulse.isSilent()).to.equal(true)
  })
})
