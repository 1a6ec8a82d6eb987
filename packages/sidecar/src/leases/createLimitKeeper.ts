import { notePace } from '@figmount/decisions'
import { runInBackground } from '@figmount/base'

import { SidecarEvent } from '../events.js'
import { LEASE_CALL_TIMEOUT_MS } from './constants.js'
import { emptyBook, takePage } from './leaseBook.js'
import { decodeLimit, encodeLimit, LIMIT_KEY } from './leaseCodec.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { LoadObservation, StorePace } from '@figmount/decisions'
import type { FeedPage, WritableFeed } from '@figmount/fleet'
import type { LeaseWriter } from './createLeaseWriter.js'
import type { StoreLimit } from './types.js'

interface Options {
  readonly feed: WritableFeed
  readonly timers: TimerService
  readonly events: EventLog
  readonly writer: LeaseWriter
}

/** Keeps the limit in the lease feed up to date. */
export interface LimitKeeper {
  readonly note: (modelName: string, load: LoadObservation) => void
  /** Remembers the limit of a page that was read. */
  readonly noteRead: (page: FeedPage) => void
  /** Writes the newest limit that was written or read, if a store that has come back from an older copy holds an older one. */
  readonly restore: () => void
}

/** Attempts to write an observed load into the limit, each after another agent has written in between. */
const MAX_ATTEMPTS = 3

/**
 * Creates the keeper of one agent. An observation is applied to the newest limit, and written only if that has not changed meanwhile:
 * an agent that loads does not follow the feed, and would restore a limit that another one has lowered.
 */
export const createLimitKeeper = ({ feed, timers, events, writer }: Options): LimitKeeper => {
  const clock = () => ({ nowMs: timers.nowMs(), unixMs: timers.unixMs() })

  let newest: StoreLimit | undefined

  const limitOf = (page: FeedPage): StoreLimit | undefined => {
    const value = page.records.findLast(({ key }) => key === LIMIT_KEY)?.value
    return value && decodeLimit(value)
  }

  const changeCountOf = (limit: StoreLimit | undefined): number => limit?.changeCount ?? 0

  const noteNewest = (limit: StoreLimit | undefined): void => {
    if (limit && changeCountOf(limit) >= changeCountOf(newest)) newest = limit
  }

  const toLimit = ({ fullSpeedCount, failedTrialCount, slowedAtMs }: StorePace, changeCount: number): StoreLimit => {
    const { nowMs, unixMs } = clock()
    return { fullSpeedCount, failedTrialCount, slowedAtUnixMs: Number.isFinite(slowedAtMs) ? unixMs - (nowMs - slowedAtMs) : 0, changeCount }
  }

  const readPage = async (): Promise<FeedPage | undefined> => (await feed.readNewest(LEASE_CALL_TIMEOUT_MS).run()).toMaybe().extract()

  /** True when nothing is left to do. */
  const update = async (modelName: string, load: LoadObservation): Promise<boolean> => {
    const page = await readPage()
    if (!page) return true
    const known = takePage(emptyBook, page, true, clock()).pace
    const pace = notePace(known, load, timers.nowMs())
    if (pace === known) return true
    const limit = toLimit(pace, changeCountOf(limitOf(page)) + 1)
    const result = await writer.append([encodeLimit(limit)], page.nextOffset)
    if (result === 'appended') {
      noteNewest(limit)
      events.emit(SidecarEvent.storeLimitChanged, {
        model: modelName, maxCount: pace.fullSpeedCount, concurrentCount: load.concurrentCount - 1, durationMs: Math.round(load.tookMs)
      })
    }
    return result === 'appended' || result === 'unknown'
  }

  const updateRepeatedly = async (modelName: string, load: LoadObservation): Promise<void> => {
    for (let count = 0; count < MAX_ATTEMPTS; count++) {
      if (await update(modelName, load)) return
    }
  }

  const rewrite = async (): Promise<void> => {
    for (let count = 0; count < MAX_ATTEMPTS; count++) {
      const page = newest && await readPage()
      if (!page || !newest || changeCountOf(limitOf(page)) >= newest.changeCount) return
      if (await writer.append([encodeLimit(newest)], page.nextOffset) === 'appended') return
    }
  }

  return {
    note: (modelName, load) => { runInBackground(events, 'leases.limit', updateRepeatedly(modelName, load)) },
    noteRead: page => { noteNewest(limitOf(page)) },
    restore: () => { runInBackground(events, 'leases.restoreLimit', rewrite()) }
  }
}
