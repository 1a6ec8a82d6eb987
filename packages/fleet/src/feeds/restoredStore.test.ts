import { expect } from 'chai'
import fc from 'fast-check'
import { EitherAsync, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createNewestDeployment } from '../deployment/createNewestDeployment.js'
import { createFeedFollower } from './createFeedFollower.js'

import type { InstanceName, VirtualTimers } from '@figmount/base'
import type { Deployment } from '../deployment/types.js'
import type { StorePort } from '../ports/types.js'
import type { FeedPage, FeedRecord, KeyedFeed } from './types.js'

const ERA_OFFSETS = 1_000
const STEP_MS = 20
/** Time within which a process that reads the store, or hears from a peer, has a change. */
const APPLY_MS = 2_000
const KEY = 'config'

const encode = (version: number): Uint8Array => Buffer.from(String(version))

/** A log of versions that comes back from older copies; each answer takes as long as `delayMs` says. */
const createStore = (timers: VirtualTimers, delayMs: () => number) => {
  const versions: number[] = []
  const listeners = new Set<() => void>()
  let era = 0

  const positionOf = (index: number): number => era * ERA_OFFSETS + index
  const recordAt = (index: number): FeedRecord => ({ key: KEY, value: encode(versions[index] ?? 0), offset: positionOf(index) })

  /** An answer shows the store as it was when it was sent, and is not taken if a later era was seen meanwhile. */
  const answer = (make: () => FeedPage): EitherAsync<never, FeedPage> => EitherAsync(async () => {
    await new Promise<void>(resolve => { timers.after(delayMs(), resolve) })
    const page = make()
    const sentEra = era
    await new Promise<void>(resolve => { timers.after(delayMs(), resolve) })
    return sentEra === era ? page : { records: [], nextOffset: 0, isExpired: true, era }
  })

  const feed: KeyedFeed = {
    name: 'op',
    readNewest: () => answer(() => ({ records: versions.length > 0 ? [recordAt(versions.length - 1)] : [], nextOffset: positionOf(versions.length), isExpired: false, era })),
    readSince: position => answer(() => {
      const index = position % ERA_OFFSETS
      if (Math.floor(position / ERA_OFFSETS) !== era || index > versions.length) return { records: [], nextOffset: 0, isExpired: true, era }
      return { records: versions.slice(index).map((_, later) => recordAt(index + later)), nextOffset: positionOf(versions.length), isExpired: false, era }
    })
  }

  return {
    feed,
    onRestored: (listener: () => void) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    write: (version: number): void => { versions.push(version) },
    newest: (): FeedRecord | undefined => versions.length > 0 ? recordAt(versions.length - 1) : undefined,
    restore: (lostCount: number): void => {
      versions.splice(Math.max(0, versions.length - lostCount))
      era += 1
      for (const listener of listeners) listener()
    }
  }
}

const createReader = (timers: VirtualTimers, store: ReturnType<typeof createStore>) => {
  const seen: number[] = []
  const port = {
    isDeploymentKey: () => true,
    decodeDeployment: (_key: string, value: Uint8Array) => Right({ version: Number(Buffer.from(value).toString()) } as Deployment)
  } as unknown as StorePort
  const newest = createNewestDeployment({ store: port, taken: ({ version }) => { seen.push(version) }, refused: () => {} })
  const follower = createFeedFollower({
    feed: store.feed,
    timers,
    events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
    onRestored: store.onRestored,
    waitMs: 0,
    dueInMs: () => 0,
    take: newest.take,
    takeKeys: () => {},
    lost: () => {},
    regained: () => {}
  })
  return { newest, follower, seen }
}

const step = fc.oneof(
  { weight: 4, arbitrary: fc.record({ type: fc.constant('write' as const) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('restore' as const), lostCount: fc.integer({ min: 0, max: 4 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('offerLate' as const), index: fc.nat({ max: 20 }) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('start' as const) }) },
  { weight: 5, arbitrary: fc.record({ type: fc.constant('pass' as const), steps: fc.integer({ min: 1, max: 20 }) }) }
)

describe('configurations of a store that comes back from older copies', () => {
  it('never go back in a process, and each change is in force in time, in any order of writes, returns, late messages and starts', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 30 }), fc.integer({ min: 1, max: 90 }), async (steps, delayMs) => {
      const timers = createVirtualTimers()
      const store = createStore(timers, () => delayMs)
      const readers = [createReader(timers, store)]
      const written: FeedRecord[] = []
      let version = 0
      const write = (): void => {
        store.write(++version)
        const record = store.newest()
        if (record) written.push(record)
      }
      const pass = async (durationMs: number): Promise<void> => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
          timers.advance(STEP_MS)
          for (let turn = 0; turn < 4; turn++) await new Promise(resolve => { setImmediate(resolve) })
        }
      }
      for (const drawn of steps) {
        if (drawn.type === 'write') write()
        if (drawn.type === 'restore') store.restore(drawn.lostCount)
        if (drawn.type === 'start') readers.push(createReader(timers, store))
        if (drawn.type === 'pass') await pass(drawn.steps * STEP_MS)
        const late = drawn.type === 'offerLate' ? written[drawn.index % Math.max(1, written.length)] : undefined
        if (late) readers[0]?.follower.offerNewest(late)
      }
      write()
      await pass(APPLY_MS)
      for (const { newest, seen, follower } of readers) {
        follower.stop()
        expect(newest.current()?.version).to.equal(version)
        expect(seen).to.deep.equal([...seen].sort((a, b) => a - b))
      }
    }), { numRuns: 40, seed: 52 })
  }).timeout(60_000)
})
