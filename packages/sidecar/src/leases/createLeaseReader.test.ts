import { expect } from 'chai'
import { EitherAsync, Right } from 'purify-ts'
import { createEventLog, createVirtualTimers } from '@figmount/base'

import { createLeaseReader } from './createLeaseReader.js'

import type { Fault, InstanceName } from '@figmount/base'
import type { FeedPage } from '@figmount/fleet'
import type { Either } from 'purify-ts'

const PAGE: Either<Fault, FeedPage> = Right({ records: [], nextOffset: 1, isExpired: false })

/** Promise continuations between a read's answer and its use, and some more. */
const MAX_CONTINUATIONS = 20

const settle = async (): Promise<void> => await new Promise(resolve => { setImmediate(resolve) })

/** Reads that follow when the reader is restarted some continuations after the answer of a read. */
const readsAfterRestart = async (continuationCount: number): Promise<readonly string[]> => {
  const timers = createVirtualTimers()
  const reads: string[] = []
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
    failed: () => {}
  })
  reader.start()
  await settle()
  answer(PAGE)
  await settle()
  answer(PAGE)
  for (let count = 0; count < continuationCount; count++) await Promise.resolve()
  const earlierCount = reads.length
  reader.restart()
  await settle()
  return reads.slice(earlierCount)
}

describe('a reader of the lease feed', () => {
  it('reads the newest records after a restart, whenever the read before ends', async () => {
    // Guards against an agent that waits for ever to see a lease whose append got no answer, and takes no other one.
    for (let count = 0; count < MAX_CONTINUATIONS; count++) expect(await readsAfterRestart(count), `after ${count}`).to.include('newest')
  })
})
