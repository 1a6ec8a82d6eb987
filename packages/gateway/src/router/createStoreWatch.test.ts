import { expect } from 'chai'
import * as fc from 'fast-check'
import { createEventLog, createVirtualTimers } from '@figmount/base'
import { RELIST_GRACE_MS } from '@figmount/fleet'

import { createMissingEntries } from '../directory/createMissingEntries.js'
import { createStoreWatch } from './createStoreWatch.js'

import type { InstanceName } from '@figmount/base'

const SEED = 20261204
const LEAVE_MS = 2_000

/** The watch of one router and the servers that it has removed. */
const setUp = () => {
  const timers = createVirtualTimers()
  const removed = new Set<string>()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers, writeLine: () => {} })
  const missing = createMissingEntries(timers, events, serverId => { removed.add(serverId) })
  const watch = createStoreWatch({ timers, leaveMs: LEAVE_MS, setDoubt: missing.setDoubt })

  /** An own read that is answered at once and shows that servers are missing. */
  const read = (...missingIds: readonly string[]): void => {
    watch.noteAnswered({ beganMs: timers.nowMs(), answeredForMs: 0, isAfterBreak: false })
    for (const serverId of missingIds) missing.noteMissing(serverId)
    watch.noteTaken(timers.nowMs())
  }
  const hear = (answeredForMs: number, isAfterBreak: boolean, ageMs = 0): void => {
    watch.noteAnswered({ beganMs: timers.nowMs() - ageMs, answeredForMs, isAfterBreak })
  }
  const fail = (): void => { watch.noteFailed(timers.nowMs()) }
  const pass = (durationMs: number): void => {
    timers.advance(durationMs)
    missing.settle()
  }
  return { timers, removed, missing, watch, read, hear, fail, pass }
}

describe('what a router knows of the store\'s availability', () => {
  it('keeps servers whose entries go in an outage that it has seen, until they must be back', () => {
    const { removed, read, fail, pass } = setUp()
    read()
    pass(500)
    fail()
    pass(4_000)
    read('a')
    pass(RELIST_GRACE_MS - 100)
    expect([...removed]).to.deep.equal([])
    pass(200)
    expect([...removed]).to.deep.equal(['a'])
  })

  it('removes at once after an own outage in which another router has read the list', () => {
    // Guards against a router whose link alone was cut: it keeps servers that have left.
    const { removed, read, hear, fail, pass } = setUp()
    read()
    pass(1_000)
    fail()
    pass(500)
    hear(60_000, false)
    pass(500)
    read('a')
    expect([...removed]).to.deep.equal(['a'])
  })

  it('ends its doubt once another router shows that the store was up', () => {
    const { removed, read, hear, fail, pass } = setUp()
    read()
    pass(1_000)
    fail()
    pass(3_000)
    read('a')
    pass(100)
    expect([...removed]).to.deep.equal([])
    hear(60_000, false)
    expect([...removed]).to.deep.equal(['a'])
  })

  it('keeps servers for a while that go in an outage which only another router has seen', () => {
    const { removed, read, hear, pass } = setUp()
    read()
    pass(600)
    hear(0, true)
    read('a')
    pass(1_000)
    expect([...removed]).to.deep.equal([])
    pass(300)
    expect([...removed]).to.deep.equal(['a'])
  })

  it('tells no other router of a doubt that it has only heard of', () => {
    const { watch, read, hear } = setUp()
    read()
    hear(0, true)
    expect(watch.hasSeenBreak()).to.equal(false)
  })

  it('takes a store that has come back from an older copy for one that was away, whatever others knew before', () => {
    const { removed, watch, read, hear, pass } = setUp()
    read()
    pass(1_000)
    watch.noteRestored()
    hear(60_000, false, 200)
    read('a')
    expect([...removed]).to.deep.equal([])
  })

  it('lets a router in touch keep no server beyond the bound, whatever it hears', () => {
    // Guards against any order of others' reports in which a removed server is kept.
    const report = fc.record({ afterMs: fc.integer({ min: 1, max: 900 }), answeredForMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 60_000 })), isAfterBreak: fc.boolean(), ageMs: fc.integer({ min: 0, max: 400 }), isOwnRead: fc.boolean() })
    fc.assert(fc.property(fc.array(report, { minLength: 5, maxLength: 40 }), fc.nat(39), (reports, removalIndex) => {
      const { timers, removed, read, hear, pass } = setUp()
      let removedMs = Infinity
      let ownReadMs = 0
      read()
      for (const [index, { afterMs, answeredForMs, isAfterBreak, ageMs, isOwnRead }] of reports.entries()) {
        pass(afterMs)
        const hasRemoved = removedMs < Infinity
        if (isOwnRead || timers.nowMs() - ownReadMs > 200) {
          read(...(hasRemoved ? ['a'] : []))
          ownReadMs = timers.nowMs()
        }
        hear(answeredForMs, isAfterBreak, ageMs)
        if (index === removalIndex) removedMs = timers.nowMs()
        if (timers.nowMs() >= removedMs + LEAVE_MS) expect(removed.has('a')).to.equal(true)
      }
    }), { seed: SEED, numRuns: 500 })
  })
})
