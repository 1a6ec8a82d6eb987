import { Left } from 'purify-ts'
import { makeFault, runInBackground, sleep } from '@figmount/base'

import { FIRST_RETRY_MS, LAST_RETRY_MS, READ_GRACE_MS } from './constants.js'

import type { Either } from 'purify-ts'
import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { FeedPage, FeedRead, FeedRecord, FeedStretch, KeyedFeed } from './types.js'

interface Options {
  readonly feed: KeyedFeed
  readonly timers: TimerService
  readonly events: EventLog
  /** Time that a read waits at the store for news; 0 polls. */
  readonly waitMs: number
  /** Time until the next read is due. Asked again when it has passed: what a peer has read may put the read off. */
  readonly dueInMs: () => number
  /** Records in order of their offsets, never an older one after a newer one of its key. */
  readonly take: (records: readonly FeedRecord[]) => void
  /** The whole list of keys was read, in place of changes: keys that are missing have gone. */
  readonly takeKeys: (keys: ReadonlySet<string>) => void
  /** The store has answered a read; called after its records were taken. */
  readonly noteRead?: (read: FeedRead) => void
  readonly lost: (fault: Fault) => void
  readonly regained: (outageMs: number) => void
}

/** Follows one feed of the store and takes in what peers pass on. */
export interface FeedFollower {
  /** Takes in records that a peer has read. */
  readonly offer: (records: readonly FeedRecord[]) => void
  /** Takes in what a peer has read. True when own reads go on after it: nothing between them is missing. */
  readonly offerStretch: (stretch: FeedStretch) => boolean
  /** Gives the read that waits up and reads again at once. */
  readonly hurry: () => void
  readonly stop: () => void
}

/** Reads a feed until it is stopped. */
export const createFeedFollower = (options: Options): FeedFollower => {
  const { feed, timers } = options
  const stopping = new AbortController()
  const newestOffset = new Map<string, number>()
  let outageSinceMs: number | undefined
  let nextOffset: number | undefined
  let giveUpWaiting: (given: Either<Fault, FeedPage>) => void = () => {}

  const accept = (records: readonly FeedRecord[]): void => {
    const fresh: FeedRecord[] = []
    for (const record of records) {
      // Guards against an older value that arrives late, through a slow answer or a peer: it would bring back a
      // configuration or a server that has been replaced. Offsets only grow, so the greater one is the newer.
      if (record.offset <= (newestOffset.get(record.key) ?? -1)) continue
      newestOffset.set(record.key, record.offset)
      fresh.push(record)
    }
    if (fresh.length > 0) options.take(fresh)
  }

  const acceptAll = (page: FeedPage): void => {
    accept(page.records)
    options.takeKeys(new Set(page.records.map(record => record.key)))
  }

  // Guards against a connection that went silent: no answer and no error ever comes. The read is given up in time and
  // made again on another connection.
  const readStore = async (): Promise<Either<Fault, FeedPage>> => {
    if (nextOffset === undefined) return await feed.readNewest(READ_GRACE_MS).run()
    return await feed.readSince(nextOffset, options.waitMs, options.waitMs + READ_GRACE_MS).run()
  }

  // What a read that was given up returns later is not taken in: the one after it reads the same records.
  const readOnce = async (): Promise<Either<Fault, FeedPage>> => {
    const givenUp = new Promise<Either<Fault, FeedPage>>(resolve => { giveUpWaiting = resolve })
    return await Promise.race([readStore(), givenUp])
  }

  const noteAnswer = (page: FeedPage, fromOffset: number | undefined, beganMs: number): void => {
    if (outageSinceMs !== undefined) options.regained(timers.nowMs() - outageSinceMs)
    outageSinceMs = undefined
    if (page.isExpired) {
      nextOffset = undefined
      return
    }
    nextOffset = Math.max(nextOffset ?? 0, page.nextOffset)
    const isWhole = fromOffset === undefined
    if (isWhole) acceptAll(page)
    else accept(page.records)
    options.noteRead?.({ stretch: { fromOffset: fromOffset ?? 0, toOffset: page.nextOffset, records: page.records }, isWhole, beganMs })
  }

  const offerStretch = ({ fromOffset, toOffset, records }: FeedStretch): boolean => {
    accept(records)
    if (nextOffset === undefined || fromOffset > nextOffset) return false
    nextOffset = Math.max(nextOffset, toOffset)
    return true
  }

  const waitUntilDue = async (): Promise<void> => {
    for (let leftMs = options.dueInMs(); leftMs > 0 && !stopping.signal.aborted; leftMs = options.dueInMs()) {
      await sleep(timers, leftMs, stopping.signal)
    }
  }

  const noteFault = (fault: Fault): void => {
    if (outageSinceMs !== undefined) return
    outageSinceMs = timers.nowMs()
    options.lost(fault)
  }

  const follow = async (): Promise<void> => {
    let retryMs = FIRST_RETRY_MS
    while (!stopping.signal.aborted) {
      const fromOffset = nextOffset
      const beganMs = timers.nowMs()
      const result = await readOnce()
      if (stopping.signal.aborted) return
      result.caseOf({ Left: noteFault, Right: page => { noteAnswer(page, fromOffset, beganMs) } })
      if (result.isRight()) {
        retryMs = FIRST_RETRY_MS
        if (nextOffset !== undefined) await waitUntilDue()
        continue
      }
      await sleep(timers, retryMs, stopping.signal)
      retryMs = Math.min(LAST_RETRY_MS, retryMs * 2)
    }
  }

  runInBackground(options.events, `feeds.follow ${feed.name}`, follow())
  return {
    offer: accept,
    offerStretch,
    hurry: () => { giveUpWaiting(Left(makeFault('timeout', 'feeds.read', feed.name, 'read again at once'))) },
    stop: () => { stopping.abort() }
  }
}
