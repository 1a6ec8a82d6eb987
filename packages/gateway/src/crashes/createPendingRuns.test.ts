import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createPendingRuns } from './createPendingRuns.js'

const START = { serverId: 'a', startedAtUnixMs: undefined }

describe('pending runs', () => {
  it('show since when a server has been silent', () => {
    const timers = createVirtualTimers()
    const runs = createPendingRuns(timers)
    const first = runs.add(START)
    expect(first.silentForMs).to.equal(0)
    timers.advance(700)
    expect(runs.add(START).silentForMs).to.equal(700)
    runs.noteAlive(START)
    timers.advance(100)
    expect(runs.add(START).silentForMs).to.equal(100)
  })

  it('show no silence at an idle server', () => {
    const timers = createVirtualTimers()
    const runs = createPendingRuns(timers)
    runs.add(START).end()
    timers.advance(5_000)
    expect(runs.add(START).silentForMs).to.equal(0)
  })
})
