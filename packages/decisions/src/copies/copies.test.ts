import { expect } from 'chai'

import { mustReadStore } from './mustReadStore.js'
import { planFetch } from './planFetch.js'

import type { FetchPlan, FetchView } from './planFetch.js'
import type { ReaderView } from './mustReadStore.js'

const LINK_BYTES_PER_MS = 1_250
const STEP_MS = 10

const behind: FetchView = { behindMs: 1_000, readsStore: true, readQuietMs: Infinity, mayReadAgain: false, fetchQuietMs: undefined }

const relying: ReaderView = { hasConfiguration: true, linkMbps: 10, followingCount: 3, sinceOutageMs: Infinity, failedFetchCount: 0, behindMs: 0, isOffered: false }

/** Copies that a router asks for until one has come through a link that they share. */
const countCopies = (copyBytes: number, plan: (view: FetchView) => FetchPlan): number => {
  let askedCount = 0
  let queuedBytes = copyBytes
  let fetchQuietMs: number | undefined
  for (let nowMs = 0; queuedBytes > 0 && nowMs < 20_000; nowMs += STEP_MS) {
    queuedBytes -= LINK_BYTES_PER_MS * STEP_MS
    if (fetchQuietMs !== undefined) fetchQuietMs += STEP_MS
    if (plan({ behindMs: nowMs, readsStore: true, readQuietMs: 0, mayReadAgain: false, fetchQuietMs }) === 'wait') continue
    askedCount += 1
    fetchQuietMs = 0
    queuedBytes += copyBytes
  }
  return askedCount
}

describe('copies of the configuration', () => {
  it('are not asked for while one arrives, however long it takes', () => {
    // Guards against copies that delay each other until none arrives.
    const askEvery400Ms = ({ behindMs, fetchQuietMs = Infinity }: FetchView): 'fetch' | 'wait' => behindMs >= 150 && fetchQuietMs >= 400 ? 'fetch' : 'wait'
    expect(countCopies(840_000, askEvery400Ms)).to.be.greaterThan(20)
    expect(countCopies(840_000, planFetch)).to.equal(0)
    expect(countCopies(8_400_000, planFetch)).to.equal(0)
  })

  it('are asked for at once by a process that does not read the store, else after a short wait', () => {
    expect(planFetch({ ...behind, behindMs: 0, readsStore: false })).to.equal('fetch')
    expect(planFetch({ ...behind, behindMs: 100 })).to.equal('wait')
    expect(planFetch(behind)).to.equal('fetch')
  })

  it('are asked for after another own read where that costs less', () => {
    // Guards against agents that all fetch from one router on a narrow link, as their own reads wait on dead connections.
    expect(planFetch({ ...behind, behindMs: 100, mayReadAgain: true })).to.equal('wait')
    expect(planFetch({ ...behind, mayReadAgain: true })).to.equal('readAgain')
    expect(planFetch({ ...behind, readQuietMs: 20, mayReadAgain: true })).to.equal('wait')
  })

  it('are asked for elsewhere when a read or a peer falls silent', () => {
    // Guards against a read, or a peer, on a dead connection.
    expect(planFetch({ ...behind, readQuietMs: 200 })).to.equal('fetch')
    expect(planFetch({ ...behind, fetchQuietMs: 100 })).to.equal('wait')
    expect(planFetch({ ...behind, fetchQuietMs: 500 })).to.equal('fetch')
  })

  it('are relied on by a router with a narrow link only', () => {
    expect(mustReadStore(relying)).to.equal(false)
    expect(mustReadStore({ ...relying, linkMbps: 200 })).to.equal(true)
  })

  it('are not relied on when they may not come', () => {
    // Guards against agents that do not get the configuration themselves, or get it too late.
    expect(mustReadStore({ ...relying, hasConfiguration: false })).to.equal(true)
    expect(mustReadStore({ ...relying, followingCount: 2 })).to.equal(true)
    expect(mustReadStore({ ...relying, sinceOutageMs: 20_000 })).to.equal(true)
    expect(mustReadStore({ ...relying, failedFetchCount: 2 })).to.equal(true)
    expect(mustReadStore({ ...relying, behindMs: 100 })).to.equal(false)
    expect(mustReadStore({ ...relying, behindMs: 200 })).to.equal(true)
    expect(mustReadStore({ ...relying, behindMs: 200, isOffered: true })).to.equal(false)
  })
})
