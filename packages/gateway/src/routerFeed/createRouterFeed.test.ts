import { expect } from 'chai'
import { EitherAsync } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createLeaseFeed, FeedMode } from '../../../sidecar/src/testing/createLeaseFeed.js'
import { createRouterFeed } from './createRouterFeed.js'

import type { InstanceName } from '@figmount/base'
import type { WritableFeed } from '@figmount/fleet'
import type { RouterNotice } from './types.js'

const IDENTITY = { contentHash: 'h', callerId: 'c' }
const CRASH: RouterNotice = { type: 'crash', crashes: [{ identity: IDENTITY, start: { serverId: 'a', startedAtUnixMs: 5 }, ageMs: 10 }], answered: [], partDeaths: [], partProofs: [] }
const LIMIT: RouterNotice = { type: 'serverLimit', start: { serverId: 'a', startedAtUnixMs: undefined }, limitPerS: undefined }

const setUp = (isNeeded = true) => {
  const timers = createVirtualTimers()
  const feed = createLeaseFeed(timers)
  const listeners = new Set<() => void>()
  const join = (name: string, own: WritableFeed = feed) => {
    const counts: number[] = []
    const notices: RouterNotice[] = []
    const router = createRouterFeed({
      feed: own,
      instance: name,
      timers,
      events: createEventLog({ instance: name as InstanceName, role: 'router', timers }),
      onRestored: listener => {
        listeners.add(listener)
        return () => { listeners.delete(listener) }
      },
      isNeeded: () => isNeeded,
      counted: count => { counts.push(count) },
      takeNotice: notice => { notices.push(notice) }
    })
    return { ...router, counts, notices }
  }
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      timers.advance(50)
      for (let turn = 0; turn < 20; turn++) await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  const restore = (): void => { for (const listener of listeners) listener() }
  return { feed, join, pass, restore }
}

describe('the feed of routers beside no agent', () => {
  it('counts all routers, and one that has gone for a while', async () => {
    const { join, pass } = setUp()
    const [first, second] = [join('r0'), join('r1')]
    await pass(10_000)
    expect([first, second].map(({ counts }) => counts.at(-1))).to.deep.equal([2, 2])
    second.stop()
    await pass(20_000)
    expect(first.counts.at(-1)).to.equal(2)
    await pass(20_000)
    expect(first.counts.at(-1)).to.equal(1)
    first.stop()
  })

  it('is read again at the next own record if the read waits on a dead connection', async () => {
    // Guards against routers that do not hear of a request that kills servers, as something has forgotten their connections.
    const { feed, join, pass } = setUp()
    let isDead = true
    const readSince: typeof feed.readSince = (...call) => isDead ? EitherAsync(async () => await new Promise(() => {})) : feed.readSince(...call)
    const first = join('r0', { ...feed, readSince })
    const second = join('r1')
    await pass(2_000)
    isDead = false
    second.send(CRASH)
    await pass(6_000)
    expect(first.notices).to.have.length(1)
    first.stop()
    second.stop()
  })

  it('takes a router for counted once the others have had the time to read of it, and no longer in an outage', async () => {
    const { feed, join, pass } = setUp()
    const router = join('r0')
    await pass(2_000)
    expect(router.isCounted()).to.equal(false)
    await pass(6_000)
    expect(router.isCounted()).to.equal(true)
    feed.setMode(FeedMode.Down)
    await pass(15_000)
    expect(router.isCounted()).to.equal(false)
    router.stop()
  })

  it('takes a router for counted at once that has only started again', async () => {
    // Guards against callers that are refused after each start of their router, as it has no part of what all share.
    const { join, pass } = setUp()
    const [first, second] = [join('r0'), join('r1')]
    await pass(8_000)
    first.stop()
    await pass(1_000)
    const again = join('r0')
    await pass(1_000)
    expect(again.isCounted()).to.equal(true)
    expect(again.counts.at(-1)).to.equal(2)
    for (const router of [second, again]) router.stop()
  })

  it('passes notices on, with the time that they took, also to a router that starts later and after an outage', async () => {
    // Guards against a request that kills servers again at a router which has started since.
    const { feed, join, pass } = setUp()
    const [first, second] = [join('r0'), join('r1')]
    await pass(1_000)
    feed.setMode(FeedMode.Down)
    first.send(CRASH)
    first.send(LIMIT)
    await pass(2_000)
    feed.setMode(FeedMode.Healthy)
    await pass(8_000)
    expect(second.notices.map(({ type }) => type)).to.deep.equal(['crash', 'serverLimit'])
    expect(first.notices).to.deep.equal([])
    const third = join('r2')
    await pass(5_000)
    const [crash] = third.notices
    expect(crash?.type === 'crash' ? crash.crashes[0]?.ageMs : 0).to.be.greaterThan(8_000)
    for (const router of [first, second, third]) router.stop()
  })

  it('passes the newest limit of a server on last, to a router that starts later and after a return of the store', async () => {
    // Guards against an older limit that replaces the newest one.
    const { join, pass, restore } = setUp()
    const first = join('r0')
    const second = join('r1')
    for (let limitPerS = 1; limitPerS <= 21; limitPerS++) {
      first.send({ ...LIMIT, limitPerS })
      await pass(50)
    }
    const later = join('r2')
    await pass(2_000)
    restore()
    await pass(2_000)
    expect([second, later].map(({ notices }) => notices.at(-1))).to.deep.equal([{ ...LIMIT, limitPerS: 21 }, { ...LIMIT, limitPerS: 21 }])
    for (const router of [first, second, later]) router.stop()
  })

  it('is left alone by records of other writers', async () => {
    const { feed, join, pass } = setUp()
    const router = join('r0')
    const appended = feed.append([{ key: 'notice/r9/0', value: Buffer.from('{') }, { key: 'x', value: Buffer.from([1]) }, { key: 'router/r8', value: Buffer.from([1]) }], undefined, 1_000).run()
    await pass(8_000)
    await appended
    expect(router.counts.at(-1)).to.equal(1)
    expect(router.notices).to.deep.equal([])
    router.stop()
  })

  it('is not called where agents pass on what routers tell each other', async () => {
    const { feed, join, pass } = setUp(false)
    const router = join('r0')
    await pass(20_000)
    expect(feed.calls).to.deep.equal([])
    router.stop()
  })
})
