import { runInBackground, runTaskSafely, sleep } from '@figmount/base'
import { createFeedFollower, LONG_POLL_MS, spreadWriteMs } from '@figmount/fleet'

import { decodeLeft, encodeLeft } from './leavingRecords.js'
import { isSameLeft, mergeLeft } from './mergeLeft.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { FeedRecord, NewRecord, WritableFeed } from '@figmount/fleet'
import type { Leavings } from './createLeavings.js'
import type { LeftStart } from './types.js'

/** Time limit of a write. */
const APPEND_TIMEOUT_MS = 1_500

/** Time until a write that failed is repeated. */
const RETRY_MS = 500

/** Longest time over which routers spread their writes. */
const MAX_SPREAD_MS = 500

/** Longest wait for the first read: the store may keep this topic from a router and show it the list. */
const FIRST_READ_LIMIT_MS = 1_000

/** How often a router looks for records that nobody needs any more. */
const CLEAN_PERIOD_MS = 60_000

interface Options {
  readonly feed: WritableFeed
  readonly timers: TimerService
  readonly events: EventLog
  readonly leavings: Leavings
  /** Takes a leaving that another router has recorded, or this one before it started. */
  readonly take: (left: LeftStart) => void
  readonly routerCount: () => number
  /** The store has come back from an older copy. */
  readonly onRestored: (listener: () => void) => () => void
  /** The store does not answer; called with the first read that fails. */
  readonly lost: (fault: Fault) => void
  readonly regained: (outageMs: number) => void
  readonly random: () => number
}

/** What routers record in the store of servers that have left. */
export interface LeavingFeed {
  /** Resolves when the router knows what was recorded before it started, or does not get to know it for a while. */
  readonly firstRead: Promise<void>
  /** Abandons the read that is waiting and reads again at once. */
  readonly readNow: () => void
  /** Begins the read that waits at the store again, unless its answer has begun. */
  readonly readAgain: () => void
  readonly stop: () => void
}

/**
 * Records in the platform's store which servers have left, and follows what other routers record.
 *
 * Guards against a leaving that ends with the routers that have read it: one that starts would go by the list alone, which an older
 * heartbeat may have changed since.
 */
export const createLeavingFeed = ({ feed, timers, events, leavings, take, routerCount, onRestored, lost, regained, random }: Options): LeavingFeed => {
  const stopping = new AbortController()
  const recorded = new Map<string, LeftStart>()
  let isWriting = false
  let noteRead: () => void = () => {}
  const firstRead = new Promise<void>(resolve => { noteRead = resolve })

  const listUnrecorded = (): readonly LeftStart[] => leavings.all().filter(left => {
    const before = recorded.get(left.serverId)
    return !isSameLeft(before, mergeLeft(before, left))
  })

  const append = async (records: readonly NewRecord[]): Promise<boolean> => {
    const result = await feed.append(records, undefined, APPEND_TIMEOUT_MS).run()
    result.ifRight(appended => { if (appended.type === 'appended') follower.noteAppended(appended.offset + records.length) })
    return result.isRight()
  }

  const writeOnce = async (): Promise<void> => {
    const unrecorded = listUnrecorded()
    if (unrecorded.length === 0 || stopping.signal.aborted) return
    if (!await append(unrecorded.map(encodeLeft))) return await sleep(timers, RETRY_MS, stopping.signal)
    for (const left of unrecorded) recorded.set(left.serverId, left)
  }

  /** Writes until all is recorded. What others write meanwhile is left out. */
  const write = async (): Promise<void> => {
    if (isWriting) return
    isWriting = true
    while (!stopping.signal.aborted && listUnrecorded().length > 0) {
      await sleep(timers, spreadWriteMs(routerCount(), MAX_SPREAD_MS, random()), stopping.signal)
      if (!await runTaskSafely(events, 'leavings.write', '', writeOnce)) await sleep(timers, RETRY_MS, stopping.signal)
    }
    isWriting = false
  }

  const writeSoon = (): void => { runInBackground(events, 'leavings.write', write()) }

  const takeRecord = (record: FeedRecord): void => {
    const left = decodeLeft(record)
    if (left) {
      recorded.set(left.serverId, left)
      return take(left)
    }
    // What another writer left is replaced.
    recorded.delete(record.key)
    if (!record.value) leavings.forget(record.key)
  }

  const follower = createFeedFollower({
    feed,
    timers,
    events,
    onRestored,
    waitMs: LONG_POLL_MS,
    dueInMs: () => 0,
    take: records => {
      for (const record of records) takeRecord(record)
      writeSoon()
    },
    takeKeys: keys => {
      for (const serverId of [...recorded.keys()]) {
        if (!keys.has(serverId)) recorded.delete(serverId)
      }
      writeSoon()
    },
    noteRead: () => { noteRead() },
    lost,
    regained
  })

  /** Removes records that nobody needs any more; the other routers forget them, too. */
  const clean = (): void => {
    const old = leavings.old().filter(({ serverId }) => recorded.has(serverId))
    if (old.length > 0) runInBackground(events, 'leavings.clean', append(old.map(({ serverId }) => ({ key: serverId, value: undefined }))))
  }

  const stopNoting = leavings.onNoted(writeSoon)
  const stopCleaning = timers.every(CLEAN_PERIOD_MS, clean)
  const stopWaiting = timers.after(FIRST_READ_LIMIT_MS, () => { noteRead() })

  return {
    firstRead,
    readNow: follower.readNow,
    readAgain: follower.pause,
    stop: () => {
      stopping.abort()
      stopNoting()
      stopCleaning()
      stopWaiting()
      follower.stop()
    }
  }
}
