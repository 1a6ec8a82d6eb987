import { expect } from 'chai'

import { estimateBusyMs } from './estimateBusy.js'

import type { QueuedLoad } from './estimateBusy.js'

const COLD: QueuedLoad = { hasLocalCopy: false, loadMs: 6_000 }
const AT_HAND: QueuedLoad = { hasLocalCopy: true, loadMs: 400 }
const IDLE = { loadingLeftMs: 0, coldWaitMs: 0, roomMs: 0, queued: [] }

describe('estimateBusyMs', () => {
  it('is the remaining time of the current load', () => {
    expect(estimateBusyMs({ ...IDLE, loadingLeftMs: 900 }, true)).to.equal(900)
    expect(estimateBusyMs({ ...IDLE, loadingLeftMs: 900 }, false)).to.equal(900)
  })

  it('is 0 for a local copy while other loads wait for the weight store', () => {
    // Guards against callers that are refused by an idle engine.
    expect(estimateBusyMs({ ...IDLE, coldWaitMs: 1_600, queued: [COLD, COLD] }, true)).to.equal(0)
  })

  it('adds all local loads that were queued before, including the time to free memory', () => {
    expect(estimateBusyMs({ ...IDLE, loadingLeftMs: 100, roomMs: 50, queued: [AT_HAND, COLD, AT_HAND] }, true)).to.equal(100 + 2 * 450)
  })

  it('counts the wait for the weight store once, before the loads from it', () => {
    expect(estimateBusyMs({ ...IDLE, coldWaitMs: 1_600, queued: [AT_HAND, COLD, COLD] }, false)).to.equal(1_600 + 2 * 6_000)
  })

  it('does not add the wait for the weight store to a current load that takes longer', () => {
    expect(estimateBusyMs({ ...IDLE, loadingLeftMs: 3_000, coldWaitMs: 1_600, queued: [COLD] }, false)).to.equal(9_000)
  })
})
