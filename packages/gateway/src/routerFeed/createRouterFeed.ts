import { runInBackground } from '@figmount/base'
import { ROUTER_RETENTION_MS } from '@figmount/decisions'
import { createFeedFollower, LONG_POLL_MS } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { addAge } from './addAge.js'
import { decodeRouterRecord, encodeNotice, encodePresence } from './routerFeedCodec.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { FeedFollower, FeedRecord, NewRecord, WritableFeed } from '@figmount/fleet'
import type { NoticeRecord, PresenceRecord } from './routerFeedCodec.js'
import type { RouterNotice } from './types.js'

/** How often a router writes that it runs. */
const PRESENCE_PERIOD_MS = 5_000

/** How often a router looks whether it needs the feed. */
const REVIEW_MS = 500

/** Time limit of a write. */
const APPEND_TIMEOUT_MS = 1_500

/** Records that wait for a store that does not answer: the newest ones are kept. */
const MAX_WAITING = 64

/** Age, by the time of day, from which on a record is history. Times of day differ by seconds. */
const HISTORY_AFTER_MS = 2 * ROUTER_RETENTION_MS

interface Options {
  readonly feed: WritableFeed
  readonly instance: string
  readonly timers: TimerService
  readonly events: EventLog
  /** No agent passes on what routers tell each other. */
  readonly isNeeded: () => boolean
  /** The store has come back from an older copy. */
  readonly onRestored: (listener: () => void) => () => void
  /** A number of routers was counted. */
  readonly counted: (routerCount: number) => void
  readonly takeNotice: (notice: RouterNotice) => void
}

/** What routers tell each other through the platform's store where no agent runs. */
export interface RouterFeed {
  readonly send: (notice: RouterNotice) => void
  /** The other routers have read that this one runs, and go on to. */
  readonly isCounted: () => boolean
  readonly stop: () => void
}

/**
 * Creates the feed of one router.
 *
 * Guards against routers beside plain servers alone that take more than their part of a limit, or send on a request that has killed
 * servers at another router: nobody else counts them or tells them.
 */
export const createRouterFeed = (options: Options): RouterFeed => {
  const { feed, instance, timers, events } = options
  const startedUnixMs = timers.unixMs()
  const seenMs = new Map<string, number>()
  let ownSinceMs: number | undefined
  /** Own records by key, in the order in which they were written: the store may lose the last ones. */
  const written = new Map<string, NewRecord>()
  let waiting: readonly NewRecord[] = []
  let noticeCount = 0
  let writtenMs = -Infinity
  let isWriting = false
  let follower: FeedFollower | undefined

  const write = async (): Promise<void> => {
    if (isWriting || waiting.length === 0) return
    isWriting = true
    const records = waiting
    const result = await feed.append(records, undefined, APPEND_TIMEOUT_MS).run()
    isWriting = false
    if (result.isLeft()) return
    // Guards against a read that waits on a dead connection: what the other routers tell would come when its wait is over.
    result.ifRight(appended => { if (appended.type === 'appended') follower?.noteAppended(appended.offset + records.length) })
    waiting = waiting.filter(record => !records.includes(record))
    await write()
  }

  const enqueue = (record: NewRecord): void => {
    written.delete(record.key)
    written.set(record.key, record)
    waiting = [...waiting.filter(({ key }) => key !== record.key), record].slice(-MAX_WAITING)
    runInBackground(events, 'routerFeed.write', write())
  }

  const count = (): number => {
    for (const [name, atMs] of seenMs) {
      if (timers.nowMs() - atMs > ROUTER_RETENTION_MS) seenMs.delete(name)
    }
    return seenMs.size
  }

  const notePresence = ({ instance: name, writtenUnixMs }: PresenceRecord): void => {
    seenMs.set(name, timers.nowMs())
    if (name !== instance || ownSinceMs !== undefined) return
    // The others have counted this router all along if it has only started again.
    const wasPresent = writtenUnixMs < startedUnixMs && ageOf(writtenUnixMs) < ROUTER_RETENTION_MS
    ownSinceMs = timers.nowMs() - (wasPresent ? PRESENCE_PERIOD_MS : 0)
  }

  const ageOf = (writtenUnixMs: number): number => Math.max(0, timers.unixMs() - writtenUnixMs)

  const takeNotice = ({ instance: sender, notice, writtenUnixMs }: NoticeRecord): void => {
    if (sender !== instance) options.takeNotice(addAge(notice, ageOf(writtenUnixMs)))
  }

  const take = (records: readonly FeedRecord[]): void => {
    for (const record of records) {
      const decoded = decodeRouterRecord(record)
      if (decoded?.type === 'notice') takeNotice(decoded)
      else if (decoded && ageOf(decoded.writtenUnixMs) < HISTORY_AFTER_MS) notePresence(decoded)
    }
    options.counted(count())
  }

  const follow = (): FeedFollower => createFeedFollower({
    feed,
    timers,
    events,
    onRestored: options.onRestored,
    waitMs: LONG_POLL_MS,
    dueInMs: () => options.isNeeded() ? 0 : REVIEW_MS,
    take,
    takeKeys: () => {},
    missed: (offset, waitedMs) => { events.emit(GatewayEvent.readMissed, { peer: feed.name, offset, waitMs: Math.round(waitedMs) }) },
    lost: fault => { events.emit(GatewayEvent.feedLost, { step: fault.step, peer: fault.peer, reason: fault.message }) },
    regained: outageMs => { events.emit(GatewayEvent.feedRegained, { peer: feed.name, durationMs: Math.round(outageMs) }) }
  })

  const review = (): void => {
    if (!options.isNeeded()) return follower?.pause()
    follower ??= follow()
    if (timers.nowMs() - writtenMs < PRESENCE_PERIOD_MS) return
    writtenMs = timers.nowMs()
    enqueue(encodePresence(instance, timers.unixMs()))
  }

  const stopReviews = timers.every(REVIEW_MS, review)
  // Guards against notices that a store which comes back from an older copy has lost: routers that start then would not know of them.
  const stopRewrites = options.onRestored(() => {
    if (!options.isNeeded()) return
    for (const record of [...written.values()]) enqueue(record)
  })

  return {
    send: notice => { enqueue(encodeNotice(instance, noticeCount++, timers.unixMs(), notice)) },
    isCounted: () => {
      const nowMs = timers.nowMs()
      const isPresent = nowMs - (seenMs.get(instance) ?? -Infinity) < 2 * PRESENCE_PERIOD_MS
      // Others that read as late as may be have read it by then.
      return isPresent && nowMs - (ownSinceMs ?? Infinity) >= PRESENCE_PERIOD_MS
    },
    stop: () => {
      stopReviews()
      stopRewrites()
      follower?.stop()
    }
  }
}
