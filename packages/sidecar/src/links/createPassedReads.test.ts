import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createPassedReads } from './createPassedReads.js'

import type { ListRead } from '@figmount/fleet'

const readOf = (toOffset: number, ageMs = 5): ListRead =>
  ({ type: 'listRead', fromOffset: 0, toOffset, records: [], ageMs, settlingMs: 0 })

describe('reads of the list that an agent passes on', () => {
  it('are one of those that were made at the same time', () => {
    const { isNew } = createPassedReads(createVirtualTimers())
    expect(isNew(readOf(7))).to.equal(true)
    expect(isNew(readOf(7))).to.equal(false)
    expect(isNew(readOf(6))).to.equal(false)
    expect(isNew(readOf(8))).to.equal(true)
  })

  it('are each later one, also when nothing was written in between', () => {
    // Guards against routers that all read for themselves while nothing changes.
    const timers = createVirtualTimers()
    const { isNew } = createPassedReads(timers)
    isNew(readOf(7))
    timers.advance(1_800)
    expect(isNew(readOf(7))).to.equal(true)
    expect(isNew(readOf(7, 1_805))).to.equal(false)
  })
})
