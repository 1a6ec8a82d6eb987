import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createCrashNotifier } from './createCrashNotifier.js'

import type { Crash, CrashNotice } from '@figmount/fleet'

const crashOf = (contentHash: string): Crash =>
  ({ identity: { contentHash, callerId: 'c' }, start: { serverId: 'a', startedAtUnixMs: undefined }, ageMs: 0 })

describe('crash notifier', () => {
  it('sends the crashes of one server death as one message', () => {
    // Guards against a message to every router for each request of a dead engine.
    const timers = createVirtualTimers()
    const sent: CrashNotice[] = []
    const notifier = createCrashNotifier(timers, notice => { sent.push(notice) })
    for (const hash of ['x', 'y', 'z']) notifier.notify({ crashes: [crashOf(hash)] })
    timers.advance(100)
    notifier.notify({ crashes: [crashOf('w')] })
    timers.advance(100)
    expect(sent.map(({ crashes }) => crashes.map(crash => crash.identity.contentHash))).to.deep.equal([['x', 'y', 'z'], ['w']])
  })
})
