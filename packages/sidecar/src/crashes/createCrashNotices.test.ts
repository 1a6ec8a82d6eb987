import { expect } from 'chai'
import { createVirtualTimers } from '@figmount/base'

import { createCrashNotices } from './createCrashNotices.js'

import type { CrashNotice } from '@figmount/fleet'

const identity = { contentHash: 'h', callerId: 'c' }
const notice: CrashNotice = { type: 'crash', crashes: [{ identity, start: { serverId: 'a', startedAtUnixMs: undefined }, ageMs: 0 }], answered: [], partDeaths: [], partProofs: [] }
const answered: CrashNotice = { type: 'crash', crashes: [], answered: [{ identity, ageMs: 0 }], partDeaths: [], partProofs: [] }

describe('crash notices', () => {
  it('are passed on once', () => {
    // Guards against notices that go round between routers and agents for ever.
    const notices = createCrashNotices(createVirtualTimers())
    expect(notices.takeNew(notice)).to.deep.equal(notice)
    expect(notices.takeNew(notice)).to.equal(undefined)
  })

  it('are kept for a router that links later', () => {
    const notices = createCrashNotices(createVirtualTimers())
    expect(notices.all()).to.equal(undefined)
    notices.takeNew(notice)
    expect(notices.all()).to.deep.equal(notice)
  })

  it('tell a router that links later which requests were answered', () => {
    // Guards against a restarted router that refuses a harmless request.
    const notices = createCrashNotices(createVirtualTimers())
    notices.takeNew(notice)
    expect(notices.takeNew(answered)).to.deep.equal(answered)
    expect(notices.takeNew(answered)).to.equal(undefined)
    expect(notices.all()).to.deep.equal({ ...notice, answered: answered.answered })
  })
})
