import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createReadSchedule } from './createReadSchedule.js'

const setUp = (random = 0) => {
  const timers = createVirtualTimers()
  return { timers, turns: createReadSchedule({ timers, periodMs: 1_800, spreadMs: 600, random: () => random }) }
}

describe('turns to read', () => {
  it('are due at once while nothing was read', () => {
    expect(setUp().turns.dueInMs()).to.equal(0)
  })

  it('count from when the read began', () => {
    const { timers, turns } = setUp(0.5)
    timers.advance(1_000)
    turns.note(900)
    expect(turns.dueInMs()).to.equal(1_800 + 300 - 100)
  })

  it('are put off by another router\'s read, never brought forward by an older one', () => {
    const { timers, turns } = setUp()
    turns.note(0)
    timers.advance(1_700)
    turns.note(1_600)
    expect(turns.dueInMs()).to.equal(1_700)
    turns.note(1_000)
    expect(turns.dueInMs()).to.equal(1_700)
  })
})
