import { expect } from 'chai'
import * as fc from 'fast-check'
import { Either, EitherAsync, Left, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers, makeFault } from '@figmount/base'
import { makeRandom } from '@figmount/decisions'

import { createDirectory } from '../directory/createDirectory.js'
import { followFeeds } from './followFeeds.js'

import type { Fault, InstanceName, VirtualTimers } from '@figmount/base'
import type { FeedPage, FeedRecord, KeyedFeed, ListRead, ServerEntry, StorePort } from '@figmount/fleet'
import type { Directory } from '../directory/types.js'
import type { Feeds } from './followFeeds.js'

const STEP_MS = 20

const SEED = 20261203
const LEAVE_MS = 4_000

/** Time within which every router must know that a server leaves, with two steps of the test's own clock. */
const KNOWN_WITHIN_MS = LEAVE_MS * 0.55 + 2 * STEP_MS

const decodeServer: StorePort['decodeServer'] = (key, bytes) =>
  Either.encase(() => JSON.parse(Buffer.from(bytes).toString()) as ServerEntry).mapLeft(error => makeFault('invalid', 'decode', key, error.message))

const entryOf = (serverId: string, isDraining = false): ServerEntry =>
  ({ serverId, startedAtUnixMs: 1, serviceName: 's', address: `${serverId}:1`, dataCentre: 'east', slots: 1, isDraining, models: [] })

/** A store with a list of servers that counts its reads. */
const createStore = () => {
  const records: FeedRecord[] = []
  let readCount = 0
  let isAway = false
  const read = (page: () => FeedPage): EitherAsync<Fault, FeedPage> => {
    readCount += 1
    return EitherAsync.liftEither(isAway ? Left(makeFault('timeout', 'read', 'store', 'away')) : Right(page()))
  }
  const serverFeed: KeyedFeed = {
    name: 'servers',
    readNewest: () => read(() => ({ records: [...new Map(records.map(record => [record.key, record])).values()], nextOffset: records.length, isExpired: false })),
    readSince: offset => read(() => ({ records: records.slice(offset), nextOffset: records.length, isExpired: false }))
  }
  const deploymentFeed: KeyedFeed = {
    name: 'config',
    readNewest: () => EitherAsync.liftEither(Right({ records: [], nextOffset: 0, isExpired: false })),
    readSince: () => EitherAsync(async () => await new Promise<FeedPage>(() => {}))
  }
  const write = (key: string, entry: ServerEntry | undefined): void => {
    records.push({ key, value: entry && Buffer.from(JSON.stringify(entry)), offset: records.length })
  }
  const port: StorePort = { serverFeed, deploymentFeed, isDeploymentKey: () => true, decodeServer, decodeDeployment: key => Left(makeFault('invalid', 'decode', key, 'none')) }
  return { port, write, readCount: () => readCount, setAway: (away: boolean) => { isAway = away } }
}

interface TestRouter {
  readonly directory: Directory
  readonly feeds: Feeds
}

/** Routers that hear of each other's reads, unless `isLost` says otherwise. */
const setUp = (routerCount: number, random: () => number, isLost: (from: number, to: number) => boolean = () => false) => {
  const timers: VirtualTimers = createVirtualTimers()
  const store = createStore()
  const routers: TestRouter[] = []
  for (const id of ['a', 'b', 'c']) store.write(id, entryOf(id))

  const tellOthers = (from: number, read: ListRead): void => {
    for (const [to, { feeds }] of routers.entries()) {
      if (to !== from && !isLost(from, to)) feeds.takeListRead(read, false)
    }
  }

  for (let index = 0; index < routerCount; index++) {
    const events = createEventLog({ instance: `r${index}` as InstanceName, role: 'router', timers })
    const directory = createDirectory({ timers, events, decodeServer, isServiceConfigured: () => true, onEntry: () => {} })
    const feeds = followFeeds({
      store: store.port,
      timers,
      events,
      directory,
      leaveMs: LEAVE_MS,
      deploymentTaken: () => {},
      relay: () => {},
      sendListRead: read => { timers.after(STEP_MS, () => tellOthers(index, read)) },
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
  ({ type: 'listRead', fromOffset, toOffset, records: [], ageMs: 5, settlingMs: 0 })

/** Tells a router of the same read until it must know what has been written. */
const tellAgainAndAgain = async (
  router: TestRouter | undefined, read: ListRead, mayBeOld: boolean, pass: (durationMs: number) => Promise<void>
): Promise<void> => {
  for (let passedMs = 0; passedMs < KNOWN_WITHIN_MS; passedMs += 200) {
    router?.feeds.takeListRead(read, mayBeOld)
    await pass(200)
  }
}

const isLeft = ({ directory }: TestRouter, serverId: string): boolean => directory.find(serverId)?.entry.isDraining !== false

describe('reading the list of servers', () => {
  it('takes many routers few calls to the store', async () => {
    const { store, routers, pass } = setUp(30, makeRandom(SEED))
    await pass(500)
    const atStart = store.readCount()
    await pass(18_000)
    stopAll(routers)
    // Each by itself would make 225 to 300 reads.
    expect(store.readCount() - atStart).to.be.within(7, 60)
  })

  it('shows each router in time that a server leaves, whichever reads of others it hears of', async () => {
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
        expect(isLeft(router, 'a')).to.equal(true)
        expect(isLeft(router, 'b')).to.equal(true)
        expect(isLeft(router, 'c')).to.equal(false)
      }
    }), { seed: SEED, numRuns: 25 })
  })

  it('goes on when the routers that read most have died', async () => {
    const { store, routers, pass } = setUp(6, makeRandom(SEED))
    await pass(4_000)
    const [survivor, ...dead] = routers
    stopAll(dead)
    store.write('a', entryOf('a', true))
    await pass(KNOWN_WITHIN_MS)
    stopAll(routers)
    expect(survivor && isLeft(survivor, 'a')).to.equal(true)
  })

  it('keeps servers whose entries lapsed in an outage that another router saw', async () => {
    // Guards against the loss of all servers at routers whose turns fell before and after an outage.
    const { store, routers, pass } = setUp(1, makeRandom(SEED))
    await pass(500)
    const [router] = routers
    const gone: FeedRecord = { key: 'a', value: undefined, offset: 3 }
    router?.feeds.takeListRead({ type: 'listRead', fromOffset: 3, toOffset: 4, records: [gone], ageMs: 5, settlingMs: 2_000 }, false)
    await pass(1_000)
    const isKept = router?.directory.find('a') !== undefined
    store.write('a', undefined)
    await pass(4_000)
    stopAll(routers)
    expect(isKept).to.equal(true)
    expect(router?.directory.find('a')).to.equal(undefined)
  })

  it('is not put off by a read that leaves a gap', async () => {
    // Guards against a leaving server whose record was in a message that was lost.
    const { store, routers, pass } = setUp(1, makeRandom(SEED))
    await pass(500)
    const [router] = routers
    store.write('a', entryOf('a', true))
    await tellAgainAndAgain(router, emptyRead(4, 4), false, pass)
    stopAll(routers)
    expect(router && isLeft(router, 'a')).to.equal(true)
  })

  it('is not put off by what may have been held up on its way', async () => {
    // Guards against a leaving server that all routers use on, as an agent that stood still passes an old read on.
    const { store, routers, pass } = setUp(2, makeRandom(SEED), () => true)
    await pass(4_000)
    const [router] = routers
    store.write('a', entryOf('a', true))
    await tellAgainAndAgain(router, emptyRead(0, 3), true, pass)
    stopAll(routers)
    expect(router && isLeft(router, 'a')).to.equal(true)
  })
})
