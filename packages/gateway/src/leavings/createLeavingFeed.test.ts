import { expect } from 'chai'
import { EitherAsync } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createLeaseFeed, FeedMode } from '../../../sidecar/src/testing/createLeaseFeed.js'
import { createLeavingFeed } from './createLeavingFeed.js'
import { createLeavings } from './createLeavings.js'
import { createStartOrder } from './createStartOrder.js'

import type { InstanceName } from '@figmount/base'
import type { NewRecord, WritableFeed } from '@figmount/fleet'
import type { LeftStart } from './types.js'

const STEP_MS = 10

/** A map without fields, as the feed's records are encoded. */
const EMPTY_MAP = Buffer.from([0x80])

const left = (serverId: string, lastHeartbeat?: number, startedAtUnixMs = 1): LeftStart =>
  ({ serverId, startedAtUnixMs, lastHeartbeat, earlierTimes: [] })

/** A start after the server's clock was set back. */
const setBack: LeftStart = { ...left('c', 0, 5), earlierTimes: [6, 7] }

const setUp = () => {
  const timers = createVirtualTimers()
  const feed = createLeaseFeed(timers)

  const join = (own: WritableFeed = feed) => {
    const leavings = createLeavings(timers, createStartOrder(timers))
    let hasRead = false
    const { firstRead, stop } = createLeavingFeed({
      feed: own,
      timers,
      events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers, writeLine: () => {} }),
      leavings,
      take: leavings.note,
      routerCount: () => 4,
      onRestored: () => () => {},
      lost: () => {},
      regained: () => {},
      random: () => 0.5
    })
    firstRead.then(() => { hasRead = true }, () => {})
    return { leavings, hasRead: () => hasRead, stop }
  }
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      timers.advance(STEP_MS)
      for (let turn = 0; turn < 10; turn++) await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  /** Appends records of another writer. */
  const appendOther = async (records: readonly NewRecord[]): Promise<void> => {
    const appended = feed.append(records, undefined, 1_000).run()
    await pass(500)
    await appended
  }
  const appendCount = (): number => feed.calls.filter(name => name === 'append').length
  return { feed, join, pass, appendOther, appendCount }
}

describe('the record of servers that have left', () => {
  it('tells a router that starts what others had noted, before its first read counts', async () => {
    const { join, pass } = setUp()
    const first = join()
    await pass(100)
    first.leavings.note(left('a'))
    first.leavings.note(left('b', 7))
    first.leavings.note(setBack)
    await pass(300)
    first.stop()
    const second = join()
    expect(second.hasRead()).to.equal(false)
    await pass(100)
    expect(second.hasRead()).to.equal(true)
    expect(second.leavings.all()).to.have.deep.members([left('a'), left('b', 7), setBack])
    second.stop()
  })

  it('is written although an earlier write failed in an unexpected way', async () => {
    // Guards against leavings that are never recorded again.
    const { feed, join, pass, appendCount } = setUp()
    let isOdd = true
    const append: typeof feed.append = (...call) => {
      if (isOdd) throw new RangeError('odd')
      return feed.append(...call)
    }
    const router = join({ ...feed, append })
    await pass(100)
    router.leavings.note(left('a'))
    await pass(1_000)
    isOdd = false
    await pass(2_000)
    expect(appendCount()).to.equal(1)
    router.stop()
  })

  it('is read again after an own record if the read waits on a dead connection', async () => {
    // Guards against a router to which nothing is told any more, as something has forgotten its connection.
    const { feed, join, pass } = setUp()
    let isDead = true
    const readSince: typeof feed.readSince = (...call) => isDead ? EitherAsync(async () => await new Promise(() => {})) : feed.readSince(...call)
    const first = join({ ...feed, readSince })
    const second = join()
    await pass(100)
    isDead = false
    second.leavings.note(left('a'))
    await pass(1_000)
    expect(first.leavings.all()).to.deep.equal([])
    first.leavings.note(left('b'))
    await pass(1_000)
    expect(first.leavings.all()).to.have.deep.members([left('a'), left('b')])
    first.stop()
    second.stop()
  })

  it('is written once however many routers note it, and reaches those that have not', async () => {
    const { join, pass, appendCount } = setUp()
    const routers = [join(), join(), join()]
    await pass(100)
    routers[0]?.leavings.note(left('a'))
    await pass(300)
    for (const { leavings } of routers) leavings.note(left('a'))
    await pass(1_000)
    expect(appendCount()).to.equal(1)
    for (const { leavings, stop } of routers) {
      expect(leavings.all()).to.deep.equal([left('a')])
      stop()
    }
  })

  it('holds the last heartbeat that any router has read, whoever writes last', async () => {
    // Guards against an older heartbeat that counts as new at routers that were told of changed entries alone.
    const { join, pass } = setUp()
    const routers = [join(), join(), join()]
    await pass(100)
    for (const [index, { leavings }] of routers.entries()) leavings.note(left('a', [4, 9, 2][index]))
    await pass(1_000)
    for (const { leavings, stop } of routers) {
      expect(leavings.all()).to.deep.equal([left('a', 9)])
      stop()
    }
  })

  it('is written once the store answers, and does not keep a router from starting', async () => {
    const { feed, join, pass } = setUp()
    feed.setMode(FeedMode.Silent)
    const router = join()
    router.leavings.note(left('a'))
    await pass(1_100)
    expect(router.hasRead()).to.equal(true)
    expect(feed.keys()).to.deep.equal([])
    feed.setMode(FeedMode.Healthy)
    await pass(4_000)
    expect(feed.keys()).to.deep.equal(['a'])
    router.stop()
  })

  it('outlasts what another writer leaves in its place', async () => {
    // Guards against a healthy server that counts as gone, and against a leaving that is forgotten, by an odd record.
    const { join, pass, appendOther } = setUp()
    const first = join()
    first.leavings.note(left('a'))
    await pass(300)
    await appendOther(['a', 'b'].map(key => ({ key, value: EMPTY_MAP })))
    first.stop()
    const second = join()
    await pass(300)
    expect(second.leavings.all()).to.deep.equal([left('a')])
    second.stop()
  })

  it('outlasts a removal that another writer makes, or that is carried out late', async () => {
    // Guards against a leaving that all routers forget while older heartbeats of its server still come.
    const { feed, join, pass, appendOther } = setUp()
    const router = join()
    router.leavings.note(left('a'))
    await pass(300)
    await appendOther([{ key: 'a', value: undefined }])
    expect(router.leavings.all()).to.deep.equal([left('a')])
    expect(feed.keys()).to.deep.equal(['a'])
    router.stop()
  })

  it('is removed when nobody needs it any more, and forgotten by all', async () => {
    const { feed, join, pass } = setUp()
    const first = join()
    first.leavings.note(left('a'))
    await pass(300_000)
    const second = join()
    await pass(361_000)
    expect(feed.keys()).to.deep.equal([])
    expect(second.leavings.all()).to.deep.equal([])
    first.stop()
    second.stop()
  })
})
