import { expect } from 'chai'
import { EitherAsync, Left, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers, makeFault } from '@figmount/base'

import { createFeedFollower } from './createFeedFollower.js'

import type { Fault, InstanceName } from '@figmount/base'
import type { Either } from 'purify-ts'
import type { FeedFollower } from './createFeedFollower.js'
import type { FeedPage, FeedRecord } from './types.js'

type Answer = Either<Fault, FeedPage>

const record = (key: string, offset: number): FeedRecord => ({ key, value: Buffer.from(`${key}@${offset}`), offset })

const page = (nextOffset: number, ...records: readonly FeedRecord[]): Answer => Right({ records, nextOffset, isExpired: false })

const unavailable: Answer = Left(makeFault('timeout', 'read', 'store', 'no answer'))

/** Stands for a read that never gets an answer, as on a connection that an intermediary has dropped without notice. */
const NO_ANSWER = 'silent'

const endAt = (offset: number) => (): EitherAsync<Fault, number> => EitherAsync.liftEither(Right(offset))

/** Key of a record that its taker can't handle. */
const POISON = 'poison'

/** Key that the taker of keys can't handle. */
const ODD_KEY = 'odd'

const setUp = (answers: Array<Answer | typeof NO_ANSWER>) => {
  const timers = createVirtualTimers()
  const taken: string[] = []
  const keys: string[][] = []
  const outages: string[] = []
  const reads: string[] = []
  const missed: number[] = []
  let dueMs = 0
  let part: () => void = () => {}
  let restored: () => void = () => {}
  const next = (): EitherAsync<Fault, FeedPage> => {
    const answer = answers.shift() ?? page(99)
    return answer === NO_ANSWER ? EitherAsync(async () => await new Promise<FeedPage>(() => {})) : EitherAsync.liftEither(answer)
  }
  const follower: FeedFollower = createFeedFollower({
    feed: {
      name: 'f',
      readNewest: () => {
        reads.push('newest')
        return next()
      },
      readSince: (offset, _waitMs, _timeoutMs, control) => {
        reads.push(`since ${offset}`)
        part = () => { control?.noteProgress() }
        return next()
      }
    },
    timers,
    events: createEventLog({ instance: 'r' as InstanceName, role: 'router', timers }),
    onRestored: listener => {
      restored = listener
      return () => {}
    },
    waitMs: 0,
    dueInMs: () => Math.max(0, dueMs - timers.nowMs()),
    noteRead: () => { dueMs = timers.nowMs() + 100 },
    take: records => {
      for (const { key, offset } of records) {
        if (key === POISON) throw new RangeError('too deep')
        taken.push(`${key}@${offset}`)
      }
    },
    takeKeys: known => {
      if (known.has(ODD_KEY)) throw new RangeError('odd')
      keys.push([...known])
    },
    missed: endOffset => { missed.push(endOffset) },
    lost: () => { outages.push('lost') },
    regained: () => { outages.push('regained') }
  })
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      timers.advance(50)
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }
  return { follower, taken, keys, outages, reads, missed, pass, part: () => { part() }, restore: () => { restored() } }
}

describe('createFeedFollower', () => {
  it('goes on after a record that its taker cannot handle', async () => {
    // Guards against one odd record that stops a list from being followed for good.
    const { follower, taken, pass } = setUp([page(2, record('a', 0), record(POISON, 1)), page(4, record('b', 2), record(POISON, 3)), page(5, record('c', 4))])
    await pass(500)
    follower.stop()
    expect(taken).to.deep.equal(['a@0', 'b@2', 'c@4'])
  })

  it('goes on after keys that their taker cannot handle', async () => {
    // Guards against a list that is read no more as a listener has thrown once.
    const { follower, taken, pass } = setUp([page(2, record(ODD_KEY, 0)), page(4, record('b', 2))])
    await pass(1_000)
    follower.stop()
    expect(taken).to.deep.equal(['odd@0', 'b@2'])
  })

  it('reads the newest record of each key first, then the records that follow', async () => {
    const { taken, keys, reads, pass } = setUp([page(5, record('a', 3)), page(6, record('a', 5))])
    await pass(150)
    expect(taken).to.deep.equal(['a@3', 'a@5'])
    expect(keys).to.deep.equal([['a']])
    expect(reads.slice(0, 2)).to.deep.equal(['newest', 'since 5'])
  })

  it('reads at once, though nothing is due, where a read is wanted', async () => {
    // Guards against a request that waits for the list until the next read is due.
    const { follower, reads, pass } = setUp([page(5), page(6), page(7)])
    await pass(150)
    const countBefore = reads.length
    follower.readSoon()
    await pass(50)
    follower.stop()
    expect(reads.length).to.equal(countBefore + 1)
  })

  it('begins a read again that has missed records', async () => {
    // Guards against a read that waits on a dead connection, which looks as if nothing were new.
    const { follower, taken, reads, missed, pass } = setUp([page(5), NO_ANSWER, page(7, record('a', 6))])
    await pass(150)
    await follower.checkEnd(endAt(5))
    expect(follower.behindMs()).to.equal(0)
    expect(reads).to.deep.equal(['newest', 'since 5'])
    await follower.checkEnd(endAt(7))
    await pass(20)
    follower.stop()
    expect(missed).to.deep.equal([7])
    expect(reads.slice(0, 3)).to.deep.equal(['newest', 'since 5', 'since 5'])
    expect(taken).to.deep.equal(['a@6'])
    expect(follower.behindMs()).to.equal(0)
  })

  it('gives a read its time that has begun again, and no answer ends it for good', async () => {
    // Guards against a slow store from which no read is waited for long enough, and against a second dead connection.
    const { follower, reads, missed, pass } = setUp([page(5), NO_ANSWER, NO_ANSWER])
    await pass(150)
    for (let count = 0; count < 3; count++) {
      await follower.checkEnd(endAt(7))
      await pass(100)
    }
    expect(reads).to.deep.equal(['newest', 'since 5', 'since 5'])
    expect(follower.behindMs()).to.be.greaterThan(200)
    await pass(1_500)
    await follower.checkEnd(endAt(7))
    await pass(20)
    follower.stop()
    expect(reads.slice(0, 4)).to.deep.equal(['newest', 'since 5', 'since 5', 'since 5'])
    expect(missed).to.deep.equal([7])
  })

  it('asks for the end once more if nobody answers', async () => {
    // Guards against a question over a connection that is dead, too.
    const { follower, missed, pass } = setUp([page(5), NO_ANSWER])
    await pass(150)
    const answers = [Left(makeFault('timeout', 'end', 'store', 'no answer')), Right(6)]
    await follower.checkEnd(() => EitherAsync.liftEither(answers.shift() ?? Right(0)))
    follower.stop()
    expect(missed).to.deep.equal([6])
  })

  it('takes the newest records of all keys in the order in which they were written', async () => {
    // Guards against an older record that counts as the newer one as a page is sorted by keys.
    const { taken, pass } = setUp([page(9, record('a', 8), record('b', 3), record('c', 5))])
    await pass(100)
    expect(taken).to.deep.equal(['b@3', 'c@5', 'a@8'])
  })

  it('does not miss a key in a read that was sent before a peer read it', async () => {
    // Guards against a server that is removed by an answer older than its entry, and stays away as that was taken before.
    const { follower, keys, taken, pass } = setUp([page(5, record('a', 3)), page(8, record('b', 7))])
    follower.offerRange({ fromOffset: 6, toOffset: 8, records: [record('b', 7)] })
    await pass(300)
    expect(taken).to.deep.equal(['b@7', 'a@3'])
    expect(keys.map(known => [...known].sort())).to.deep.equal([['a', 'b']])
  })

  it('ignores an older record of a key after a newer one', async () => {
    // Guards against a configuration that is reverted by a late answer of the store.
    const { follower, taken, pass } = setUp([page(4, record('config', 3)), page(5)])
    await pass(100)
    follower.offerNewest(record('config', 9))
    follower.offerNewest(record('config', 7))
    await pass(200)
    expect(taken).to.deep.equal(['config@3', 'config@9'])
  })

  it('reads the newest records again when the store has dropped its history', async () => {
    const expired: Answer = Right({ records: [], nextOffset: 0, isExpired: true })
    const { taken, keys, reads, pass } = setUp([page(5, record('a', 3)), expired, page(40, record('a', 39))])
    await pass(300)
    expect(reads.slice(0, 3)).to.deep.equal(['newest', 'since 5', 'newest'])
    expect(taken).to.deep.equal(['a@3', 'a@39'])
    expect(keys).to.have.length(2)
  })

  it('abandons a waiting read and reads again at once when asked to', async () => {
    // Guards against a read that waits on a connection that has died without an error.
    const { follower, taken, pass } = setUp([page(5), NO_ANSWER, page(6, record('config', 5))])
    await pass(5_000)
    expect(taken).to.deep.equal([])
    follower.readNow()
    await pass(500)
    expect(taken).to.deep.equal(['config@5'])
  })

  it('reads on after the newest record that a peer has sent', async () => {
    // Guards against a router with a narrow link that reads all large configurations again which agents have sent it.
    const { follower, reads, pass } = setUp([page(5), page(10)])
    await pass(50)
    follower.offerNewest(record('config', 9))
    await pass(300)
    expect(reads).to.not.include('since 5')
    expect(reads[1]).to.equal('since 10')
  })

  it('ends a read that waits when it is paused, and none whose answer has begun', async () => {
    const { follower, reads, taken, pass, part } = setUp([page(5), NO_ANSWER, page(6, record('config', 5))])
    await pass(200)
    expect(reads).to.have.length(2)
    part()
    follower.pause()
    await pass(200)
    expect(reads).to.have.length(2)
    expect(follower.quietMs()).to.be.within(150, 300)
    follower.readNow()
    await pass(500)
    expect(taken).to.deep.equal(['config@5'])
    expect(follower.quietMs()).to.equal(Infinity)
  })

  it('reports an outage once, and its end', async () => {
    const { outages, pass } = setUp([page(5), unavailable, unavailable, unavailable, page(6)])
    await pass(4_000)
    expect(outages).to.deep.equal(['lost', 'regained'])
  })

  it('reads all again when the store has come back from an older copy', async () => {
    // Guards against a read that waits at an offset which the copy gives out again.
    const { taken, reads, pass, restore } = setUp([page(5, record('a', 3)), NO_ANSWER, page(1_004, record('a', 1_003))])
    await pass(300)
    restore()
    await pass(300)
    expect(reads.slice(0, 3)).to.deep.equal(['newest', 'since 5', 'newest'])
    expect(taken).to.deep.equal(['a@3', 'a@1003'])
  })

  it('takes no range of a peer that has not yet seen the store come back', async () => {
    // Guards against an entry from before the return that arrives late: its key may be unknown in the copy.
    const { follower, taken, pass } = setUp([page(1_005, record('a', 1_003))])
    await pass(100)
    expect(follower.offerRange({ fromOffset: 3, toOffset: 7, records: [record('b', 6)] })).to.equal(false)
    expect(taken).to.deep.equal(['a@1003'])
  })
})
