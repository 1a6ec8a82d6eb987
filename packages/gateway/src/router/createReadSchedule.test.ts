import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createReadSchedule } from './createReadSchedule.js'

const setUp = (random = 0) => {
  const timers = createVirtualTimers()
  return { timers, schedule: createReadSchedule({ timers, periodMs: 1_800, spreadMs: 600, random: () => random }) }
}

describe('schedule of reads', () => {
  it('has the first read at once', () => {
    expect(setUp().schedule.dueInMs()).to.equal(0)
  })

  it('counts from the beginning of a read', () => {
    const { timers, schedule } = setUp(0.5)
    timers.advance(1_000)
    schedule.note(900)
    expect(schedule.dueInMs()).to.equal(1_800 + 300 - 100)
  })

  it('is postponed by another router\'s read, and never advanced by an older one', () => {
    const { timers, schedule } = setUp()
    schedule.note(0)
    timers.advance(1_700)
    schedule.note(1_600)
    expect(schedule.dueInMs()).to.equal(1_700)
    schedule.note(1_000)
    expect(schedule.dueInMs()).to.equal(1_700)
  })
})
