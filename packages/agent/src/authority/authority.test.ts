import { AUTHORITY_MS } from '@figmount/records'
import { RunState } from '@figmount/schema'
import { expect } from 'chai'

import { MODEL, startAgentForTest } from '../testing/startAgentForTest.js'
import { OUTAGE_CONFIRM_MS } from './constants.js'
import { judgeAuthority } from './judgeAuthority.js'

const view = { nowMs: 100_000, confirmedAtMs: 99_000, runningSinceMs: 0, listed: 'present' } as const

describe('authority', () => {
  it('depends on the last confirmed read, pauses and the instance list', () => {
    expect(judgeAuthority(view)).to.equal('fresh')
    const stale = { ...view, confirmedAtMs: view.nowMs - AUTHORITY_MS }
    expect(judgeAuthority(stale)).to.equal('outage')
    expect(judgeAuthority({ ...stale, listed: 'unknown' })).to.equal('outage')
    expect(judgeAuthority({ ...stale, listed: 'missing' })).to.equal('none')
    expect(judgeAuthority({ ...stale, runningSinceMs: view.nowMs - OUTAGE_CONFIRM_MS + 1 })).to.equal('none')
  })

  // The log is unreachable for a long time while callers request a cold model. No other agent can have been granted
  // the right in that time, so the holder may load.
  it('lets a holder load while the log is down', async () => {
    const under = await startAgentForTest()
    under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
    under.log.isUp = false
    await under.advance(20_000)
    const router = under.connect()
    router.start('a')
    await under.advance(500)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
  })

  // The process is stopped for a minute and then continues. Its right may have been granted to another agent
  // meanwhile, and a load here would exceed the number of replicas.
  it('does not load after a pause before it has read the log again', async () => {
    const under = await startAgentForTest()
    under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
    under.log.isUp = false
    const router = under.connect()
    const nowMs = under.timers.nowMs
    let pausedMs = 0
    Object.assign(under.timers, { nowMs: () => nowMs() + pausedMs })
    pausedMs = 60_000
    router.start('a', { remainingMs: 120_000 })
    await under.advance(1_000)
    expect(under.engine.orders).to.deep.equal([])
    expect(under.events('pauseNoticed')).to.have.length(1)
    under.log.isUp = true
    await under.advance(1_000)
    expect(router.finalOf('a')?.tokenCount).to.equal(3)
  })

  it('does not load while the list lacks its instance and the log is unreachable', async () => {
    const under = await startAgentForTest()
    under.grant({ kind: 'replica', target: MODEL, slotIndex: 0 })
    under.log.isUp = false
    under.listing = { listed: 'missing', leaving: false }
    await under.advance(AUTHORITY_MS + 6_000)
    const router = under.connect()
    router.start('a', { remainingMs: 2_000 })
    await under.advance(2_500)
    expect(under.engine.orders).to.deep.equal([])
    expect(router.refusalOf('a')?.runState).to.equal(RunState.NOT_RUN)
  })
})
