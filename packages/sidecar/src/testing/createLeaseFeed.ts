import { EitherAsync, Left, Right } from 'purify-ts'
import { makeFault, sleep } from '@figmount/base'

import type { Either } from 'purify-ts'
import type { Fault, VirtualTimers } from '@figmount/base'
import type { AppendOutcome, FeedPage, FeedRecord, NewRecord, WritableFeed } from '@figmount/fleet'

/** How the feed of a test answers. */
export const FeedMode = {
  Healthy: 'healthy',
  /** Calls fail. */
  Down: 'down',
  /** Calls fail when their time is over. */
  Silent: 'silent',
  /** Appends are carried out and get no answer. */
  AnswerLost: 'answerLost'
} as const

export type FeedMode = typeof FeedMode[keyof typeof FeedMode]

/** A lease feed in memory, shared by the agents of a test. */
export interface TestFeed extends WritableFeed {
  readonly setMode: (mode: FeedMode) => void
  /** Keys that have a value. */
  readonly keys: () => readonly string[]
  /** Calls that were made, by their names. */
  readonly calls: readonly string[]
}

/** Time that each call takes. */
const CALL_MS = 4

const NO_ANSWER: Either<Fault, never> = Left(makeFault('timeout', 'feed', 'store', 'no answer'))

/** Creates a lease feed that answers after some ms of virtual time. */
export const createLeaseFeed = (timers: VirtualTimers): TestFeed => {
  const records: FeedRecord[] = []
  const calls: string[] = []
  let waiters: Array<() => void> = []
  let mode: FeedMode = FeedMode.Healthy

  const newest = (): readonly FeedRecord[] => {
    const byKey = new Map<string, FeedRecord>()
    for (const record of records) byKey.set(record.key, record)
    return [...byKey.values()].filter(record => record.value !== undefined)
  }

  const answer = <T>(name: string, timeoutMs: number, run: () => Promise<Either<Fault, T>>): EitherAsync<Fault, T> =>
    EitherAsync.fromPromise(async () => {
      calls.push(name)
      await sleep(timers, CALL_MS)
      if (mode === FeedMode.Silent) await sleep(timers, timeoutMs - CALL_MS)
      return mode === FeedMode.Down || mode === FeedMode.Silent ? NO_ANSWER : await run()
    })

  const page = (found: readonly FeedRecord[]): Either<Fault, FeedPage> => Right({ records: found, nextOffset: records.length, isExpired: false })

  const add = (added: readonly NewRecord[]): void => {
    for (const { key, value } of added) records.push({ key, value, offset: records.length })
    const notified = waiters
    waiters = []
    for (const notify of notified) notify()
  }

  const nextRecord = async (waitMs: number): Promise<void> =>
    await new Promise(resolve => {
      waiters.push(resolve)
      timers.after(waitMs, resolve)
    })

  return {
    name: 'leases',
    readNewest: timeoutMs => answer('newest', timeoutMs, async () => page(newest())),
    readSince: (offset, waitMs, timeoutMs) => answer('since', timeoutMs, async () => {
      if (records.length === offset) await nextRecord(waitMs)
      return page(records.slice(offset))
    }),
    append: (added, atOffset, timeoutMs) => answer('append', timeoutMs, async () => {
      const offset = records.length
      const isAppended = atOffset === undefined || atOffset === offset
      if (isAppended) add(added)
      if (mode === FeedMode.AnswerLost) return NO_ANSWER
      return Right<AppendOutcome, Fault>(isAppended ? { type: 'appended', offset } : { type: 'moved' })
    }),
    setMode: next => { mode = next },
    keys: () => newest().map(record => record.key),
    calls
  }
}
