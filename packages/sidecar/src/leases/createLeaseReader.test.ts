import { expect } from 'chai'
import { EitherAsync, Left, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers, makeFault } from '@figmount/base'

import { createLeaseReader } from './createLeaseReader.js'

import type { Fault, InstanceName } from '@figmount/base'
import type { FeedPage } from '@figmount/fleet'
import type { Either } from 'purify-ts'

const FAILURE: Either<Fault, FeedPage> = Left(makeFault('timeout', 'feed', 'store', 'no answer'))

const PAGE: Either<Fault, FeedPage> = Right({ records: [], nextOffset: 1, isExpired: false })

/** Promise continuations between a read's answer and its use, and some more. */
const MAX_CONTINUATIONS = 20

const settle = async (): Promise<void> => await new Promise(resolve => { setImmediate(resolve) })

/** A reader whose reads wait for `answer`; `failures`: since when the store has not answered, at each read that failed. */
const setUp = () => {
  const timers = createVirtualTimers()
  const reads: string[] = []
  const failures: number[] = []
  let answer: (result: Either<Fault, FeedPage>) => void = () => {}
  const read = (name: string): EitherAsync<Fault, FeedPage> => EitherAsync.fromPromise(async () => {
    reads.push(name)
    return await new Promise<Either<Fault, FeedPage>>(resolve => { answer = resolve })
  })
  const reader = createLeaseReader({
    feed: { name: 'leases', readNewest: () => read('newest'), readSince: () => read('since'), append: () => EitherAsync.liftEither(Right({ type: 'appended', offset: 0 })) },
    timers,
    events: createEventLog({ instance: 'a' as InstanceName, role: 'agent', timers }),
    isNeeded: () => true,
    take: () => {},
    failed: (_fault, beganMs) => { failures.push(beganMs) }
  })
  reader.start()
  return { timers, reader, reads, failures, answer: (result: Either<Fault, FeedPage>) => { answer(result) } }
}

/** Reads that follow when the reader is restarted some continuations after the answer of a read. */
const readsAfterRestart = async (continuationCount: number): Promise<readonly string[]> => {
  const { reader, reads, answer } = setUp()
  await settle()
  answer(PAGE)
  await settle()
  answer(PAGE)
  for (let count = 0; count < continuationCount; count++) await Promise.resolve()
  const earlierCount = reads.length
  reader.restart(false)
  await settle()
  return reads.slice(earlierCount)
}

/** A read begins, the reader is restarted a second later, and the next read fails another second later; returns the failure's age then. */
const failureAgeAfterRestart = async (isAnswering: boolean, answered?: Either<Fault, FeedPage>): Promise<number> => {
  const { timers, reader, failures, answer } = setUp()
  await settle()
  timers.advance(1_000)
  if (answered) answer(answered)
  if (answered?.isRight()) await settle()
  reader.restart(isAnswering)
  await settle()
  timers.advance(1_000)
  answer(FAILURE)
  await settle()
  expect(failures).to.have.length(1)
  return timers.nowMs() - (failures[0] ?? NaN)
}

describe('a reader of the lease feed', () => {
  it('reads the newest records after a restart, whenever the read before ends', async () => {
    // Guards against an agent that waits for ever to see a lease whose append got no answer, and takes no other one.
    for (let count = 0; count < MAX_CONTINUATIONS; count++) expect(await readsAfterRestart(count), `after ${count}`).to.include('newest')
  })

  it('counts an outage from the read that a restart cancelled', async () => {
    // Guards against models that are not loaded because each append without an answer lets the outage begin anew.
    expect(await failureAgeAfterRestart(false)).to.equal(2_000)
    expect(await failureAgeAfterRestart(false, FAILURE)).to.equal(2_000)
  })

  it('counts no outage from before an answer', async () => {
    // Guards against loads without a lease beside others while the store answers.
    expect(await failureAgeAfterRestart(true)).to.equal(1_000)
    expect(await failureAgeAfterRestart(false, PAGE)).to.equal(1_000)
  })
})
