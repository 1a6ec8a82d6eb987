import { expect } from 'chai'
import * as fc from 'fast-check'
import { Either, EitherAsync, Left, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers, makeFault } from '@figmount/base'
import { makeRandom } from '@figmount/decisions'

import { createLeaseFeed } from '../../../sidecar/src/testing/createLeaseFeed.js'
import { createDirectory } from '../directory/createDirectory.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'
import { followFeeds } from './followFeeds.js'

import type { Fault, InstanceName, VirtualTimers } from '@figmount/base'
import type { CheckedFeed, FeedPage, FeedRecord, KeyedFeed, ListRead, ServerEntry, StorePort } from '@figmount/fleet'
import type { Directory } from '../directory/types.js'
import type { Feeds } from './followFeeds.js'

const STEP_MS = 20

const SEED = 20261203
const LEAVE_MS = 4_000

/** Time within which every router must see that a server leaves, plus two steps of the test's clock. */
const KNOWN_WITHIN_MS = LEAVE_MS * 0.55 + 2 * STEP_MS

const decodeServer: StorePort['decodeServer'] = (key, bytes) =>
  Either.encase(() => JSON.parse(Buffer.from(bytes).toString()) as ServerEntry).mapLeft(error => makeFault('invalid', 'decode', key, error.message))

const entryOf = (serverId: string, isDraining = false): ServerEntry =>
  makeServerEntry(serverId, { startedAtUnixMs: 1, isDraining })

/** A store with a list of servers that counts its reads. */
const createStore = () => {
  const records: FeedRecord[] = []
  let readCount = 0
  let checkCount = 0
  let isDown = false
  const read = (page: () => FeedPage): EitherAsync<Fault, FeedPage> => {
    readCount += 1
    return EitherAsync.liftEither(isDown ? Left(makeFault('timeout', 'read', 'store', 'away')) : Right(page()))
  }
  const serverFeed: KeyedFeed = {
    name: 'servers',
    readNewest: () => read(() => ({ records: [...new Map(records.map(record => [record.key, record])).values()], nextOffset: records.length, isExpired: false })),
    readSince: offset => read(() => ({ records: records.slice(offset), nextOffset: records.length, isExpired: false }))
  }
  const deploymentFeed: CheckedFeed = {
    name: 'config',
    readEnd: () => {
      checkCount += 1
      return EitherAsync.liftEither(Right(0))
    },
    readNewest: () => EitherAsync.liftEither(Right({ records: [], nextOffset: 0, isExpired: false })),
    readSince: () => EitherAsync(async () => await new Promise<FeedPage>(() => {}))
  }
  const write = (key: string, entry: ServerEntry | undefined): void => {
    records.push({ key, value: entry && Buffer.from(JSON.stringify(entry)), offset: records.length })
  }
  const port: StorePort = { serverFeed, deploymentFeed, onRestored: () => () => {}, isDeploymentKey: () => true, decodeServer, decodeDeployment: key => Left(makeFault('invalid', 'decode', key, 'none')) }
  return { port, write, readCount: () => readCount, checkCount: () => checkCount, setDown: (down: boolean) => { isDown = down } }
}

interface TestRouter {
  readonly directory: Directory
  readonly feeds: Feeds
}

/** Routers that receive each other's reads, except those that `isLost` drops. */
const setUp = (routerCount: number, random: () => number, isLost: (from: number, to: number) => boolean = () => false, applyMs = LEAVE_MS) => {
  const timers: VirtualTimers = createVirtualTimers()
  const store = createStore()
  const leavingFeed = createLeaseFeed(timers)
  const routers: TestRouter[] = []
  for (const id of ['a', 'b', 'c']) store.write(id, entryOf(id))

  const sendToOthers = (from: number, read: ListRead): void => {
    for (const [to, { feeds }] of routers.entries()) {
      if (to !== from && !isLost(from, to)) feeds.takeListRead(read, false)
    }
  }

  for (let index = 0; index < routerCount; index++) {
    const events = createEventLog({ instance: `r${index}` as InstanceName, role: 'router', timers })
    const directory = createDirectory({ timers, events, decodeServer, isServiceConfigured: () => true, onEntry: () => {} })
    const feeds = followFeeds({
      store: { ...store.port, leavingFeed },
      timers,
      events,
      directory,
      leaveMs: LEAVE_MS,
      applyMs,
      deploymentTaken: () => {},
      deploymentHeld: () => {},
      mustReadDeployments: () => true,
      storeRegained: () => {},
      sendListRead: read => { timers.after(STEP_MS, () => sendToOthers(index, read)) },
      routerCount: () => routerCount,
      random
    })
    routers.push({ directory, feeds })
  }

  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      timers.advance(STEP_MS)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  return { store, routers, pass }
}

const stopAll = (routers: readonly TestRouter[]): void => {
  for (const { feeds } of routers) feeds.stop()
}

const emptyRead = (fromOffset: number, toOffset: number): ListRead =>
  ({ type: 'listRead', fromOffset, toOffset, records: [], ageMs: 5, answeredForMs: 0, isAfterBreak: false })

/** Sends a router the same read repeatedly until it must have seen all that was written. */
const sendRepeatedly = async (
  router: TestRouter | undefined, read: ListRead, mayBeStale: boolean, pass: (durationMs: number) => Promise<void>
): Promise<void> => {
  for (let passedMs = 0; passedMs < KNOWN_WITHIN_MS; passedMs += 200) {
    router?.feeds.takeListRead(read, mayBeStale)
    await pass(200)
  }
}

const isLeaving = ({ directory }: TestRouter, serverId: string): boolean => directory.find(serverId)?.entry.isDraining !== false

describe('reading the list of servers', () => {
  it('costs few calls to the store with many routers', async () => {
    const { store, routers, pass } = setUp(30, makeRandom(SEED))
    await pass(500)
    const atStart = store.readCount()
    await pass(18_000)
    stopAll(routers)
    // Without sharing, the routers would make 225 to 300 reads.
    expect(store.readCount() - atStart).to.be.within(7, 60)
  })

  it('costs one question for the end of the configuration each time, however many routers there are', async () => {
    // Guards against a price of news that grows with the processes.
    const { store, routers, pass } = setUp(30, makeRandom(SEED))
    await pass(500)
    const [readsBefore, checksBefore] = [store.readCount(), store.checkCount()]
    await pass(18_000)
    stopAll(routers)
    const readCount = store.readCount() - readsBefore
    expect(store.checkCount() - checksBefore).to.be.within(readCount - 1, readCount + 1)
  })

  it('comes as often as a configuration must be in force, where that is sooner', async () => {
    // Guards against a platform that gives a change less time than a server that leaves.
    const { store, routers, pass } = setUp(1, () => 0, () => false, LEAVE_MS / 4)
    await pass(LEAVE_MS)
    stopAll(routers)
    expect(store.checkCount()).to.be.at.least(8)
  })

  it('shows each router in time that a server leaves, whichever reads of others it receives', async () => {
    await fc.assert(fc.asyncProperty(fc.infiniteStream(fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true })), fc.double({ min: 0, max: 1, noNaN: true }), async (draws, lostShare) => {
      const random = (): number => draws.next().value ?? 0
      const { store, routers, pass } = setUp(5, random, () => random() < lostShare)
      await pass(3_000)
      for (const id of ['a', 'b']) {
        store.write(id, entryOf(id, true))
        await pass(700)
      }
      await pass(KNOWN_WITHIN_MS - 700)
      stopAll(routers)
      for (const router of routers) {
        expect(isLeaving(router, 'a')).to.equal(true)
        expect(isLeaving(router, 'b')).to.equal(true)
        expect(isLeaving(router, 'c')).to.equal(false)
      }
    }), { seed: SEED, numRuns: 25 })
  })

  it('continues when the routers that read most have died', async () => {
    const { store, routers, pass } = setUp(6, makeRandom(SEED))
    await pass(4_000)
    const [survivor, ...dead] = routers
    stopAll(dead)
    store.write('a', entryOf('a', true))
    await pass(KNOWN_WITHIN_MS)
    stopAll(routers)
    expect(survivor && isLeaving(survivor, 'a')).to.equal(true)
  })

  it('keeps servers whose entries expired in an outage that another router saw', async () => {
    // Guards against losing all servers at routers whose own reads fell before and after an outage.
    const { store, routers, pass } = setUp(1, makeRandom(SEED))
    await pass(500)
    const [router] = routers
    const gone: FeedRecord = { key: 'a', value: undefined, offset: 3 }
    router?.feeds.takeListRead({ type: 'listRead', fromOffset: 3, toOffset: 4, records: [gone], ageMs: 5, answeredForMs: 0, isAfterBreak: true }, false)
    await pass(1_000)
    const isKept = router?.directory.find('a') !== undefined
    store.write('a', undefined)
    await pass(4_000)
    stopAll(routers)
    expect(isKept).to.equal(true)
    expect(router?.directory.find('a')).to.equal(undefined)
  })

  it('removes a server in time whose entry goes while other routers doubt the store again and again', async () => {
    // Guards against one router's doubt that becomes everyone's: a router that has read the list all the while keeps a server that has left.
    const { store, routers, pass } = setUp(1, makeRandom(SEED))
    await pass(3_000)
    const [router] = routers
    store.write('a', undefined)
    for (let passedMs = 0; passedMs < LEAVE_MS; passedMs += 500) {
      router?.feeds.takeListRead({ ...emptyRead(4, 4), isAfterBreak: true }, false)
      await pass(500)
    }
    const isGone = router?.directory.find('a') === undefined
    stopAll(routers)
    expect(isGone).to.equal(true)
  })

  it('is not postponed by a read that leaves a gap', async () => {
    // Guards against missing a leaving server whose record was in a lost message.
    const { store, routers, pass } = setUp(1, makeRandom(SEED))
    await pass(500)
    const [router] = routers
    store.write('a', entryOf('a', true))
    await sendRepeatedly(router, emptyRead(4, 4), false, pass)
    stopAll(routers)
    expect(router && isLeaving(router, 'a')).to.equal(true)
  })

  it('is not postponed by a read that may have been delayed', async () => {
    // Guards against a leaving server that all routers continue to use because a paused agent relays an old read.
    const { store, routers, pass } = setUp(2, makeRandom(SEED), () => true)
    await pass(4_000)
    const [router] = routers
    store.write('a', entryOf('a', true))
    await sendRepeatedly(router, emptyRead(0, 3), true, pass)
    stopAll(routers)
    expect(router && isLeaving(router, 'a')).to.equal(true)
  })
})
