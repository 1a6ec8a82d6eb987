import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createReadSchedule } from './createReadSchedule.js'

const setUp = (random = 0) => {
  const timers = createVirtualTimers()
  return { timers, schedule: createReadSchedule({ timers, periodMs: 1_800, spreadMs: 600, random: () => random }) }
}

describe('scheduled reads', () => {
  it('are due at once while nothing was read', () => {
    expect(setUp().schedule.dueInMs()).to.equal(0)
  })

  it('are due one period after the previous read began', () => {
    const { timers, schedule } = setUp(0.5)
    timers.advance(1_000)
    schedule.note(900)
    expect(schedule.dueInMs()).to.equal(1_800 + 300 - 100)
  })

  it('are put off by another router\'s read, never brought forward by an older one', () => {
    const { timers, schedule } = setUp()
    schedule.note(0)
    timers.advance(1_700)
    schedule.note(1_600)
    expect(schedule.dueInMs()).to.equal(1_700)
    schedule.note(1_000)
    expect(schedule.dueInMs()).to.equal(1_700)
  })
})
