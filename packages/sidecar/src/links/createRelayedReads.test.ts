import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createRelayedReads } from './createRelayedReads.js'

import type { ListRead } from '@figmount/fleet'

const readOf = (toOffset: number, ageMs = 5): ListRead =>
  ({ type: 'listRead', fromOffset: 0, toOffset, records: [], ageMs, answeredForMs: 0, isAfterBreak: false })

describe('createRelayedReads', () => {
  it('relays one of several reads that were made at the same time', () => {
    const { isNew } = createRelayedReads(createVirtualTimers())
    expect(isNew(readOf(7))).to.equal(true)
    expect(isNew(readOf(7))).to.equal(false)
    expect(isNew(readOf(6))).to.equal(false)
    expect(isNew(readOf(8))).to.equal(true)
  })

  it('relays a later read also when no record was written in between', () => {
    // Guards against every router reading the list from the store itself while it does not change.
    const timers = createVirtualTimers()
    const { isNew } = createRelayedReads(timers)
    isNew(readOf(7))
    timers.advance(1_800)
    expect(isNew(readOf(7))).to.equal(true)
    expect(isNew(readOf(7, 1_805))).to.equal(false)
  })
})
