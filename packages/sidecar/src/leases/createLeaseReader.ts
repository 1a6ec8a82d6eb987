import { runInBackground, sleep } from '@figmount/base'

import { LEASE_CALL_TIMEOUT_MS, LEASE_POLL_MS, LEASE_RETRY_MS, MAX_LEASE_RETRY_MS } from './constants.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { FeedPage, WritableFeed } from '@figmount/fleet'
import type { Either } from 'purify-ts'

interface Options {
  readonly feed: WritableFeed
  readonly timers: TimerService
  readonly events: EventLog
  /** Reading goes on while this is true. */
  readonly isNeeded: () => boolean
  /** Called after each read; `isWhole`: the page holds the newest record of each key. */
  readonly take: (page: FeedPage, isWhole: boolean) => void
  readonly failed: (fault: Fault, beganMs: number) => void
}

/** Reads the lease feed while an agent needs it. */
export interface LeaseReader {
  /** Begins to read, unless that is in progress. */
  readonly start: () => void
  /** Offset at which the feed ended at the last read; undefined before the first one. */
  readonly endOffset: () => number | undefined
  /** Reads the newest record of each key next, as it is unknown what the store has carried out; `isAnswering`: the store has just answered. */
  readonly restart: (isAnswering: boolean) => void
}

/**
 * Creates a reader of the lease feed. Each call to the store is charged, and agents need no lease most of the time, so the feed is
 * followed only while one is needed.
 */
export const createLeaseReader = ({ feed, timers, events, isNeeded, take, failed }: Options): LeaseReader => {
  let isReading = false
  let endOffset: number | undefined
  let cancelRead: () => void = () => {}
  let restartCount = 0
  /** When the read under way began, or the first one before it that was cancelled without an answer. */
  let beganMs: number | undefined

  const read = async (): Promise<Either<Fault, FeedPage> | undefined> => {
    const cancelled = new Promise<undefined>(resolve => { cancelRead = () => { resolve(undefined) } })
    const call = endOffset === undefined
      ? feed.readNewest(LEASE_CALL_TIMEOUT_MS)
      : feed.readSince(endOffset, LEASE_POLL_MS, LEASE_POLL_MS + LEASE_CALL_TIMEOUT_MS)
    return await Promise.race([call.run(), cancelled])
  }

  const takePage = (page: FeedPage, isWhole: boolean): void => {
    endOffset = page.isExpired ? undefined : page.nextOffset
    if (!page.isExpired) take(page, isWhole)
  }

  const follow = async (): Promise<void> => {
    let retryMs = LEASE_RETRY_MS
    while (isNeeded()) {
      const isWhole = endOffset === undefined
      const countBefore = restartCount
      const sinceMs = beganMs ??= timers.nowMs()
      const result = await read()
      if (result?.isRight()) beganMs = undefined
      // A read that ended at the moment of the restart would continue from its offset, and never show what the store carried out before.
      if (restartCount !== countBefore) continue
      beganMs = undefined
      result?.caseOf({ Left: fault => { failed(fault, sinceMs) }, Right: page => { takePage(page, isWhole) } })
      if (result?.isLeft()) await sleep(timers, retryMs)
      retryMs = result?.isLeft() ? Math.min(MAX_LEASE_RETRY_MS, retryMs * 2) : LEASE_RETRY_MS
    }
  }

  return {
    start: () => {
      if (isReading || !isNeeded()) return
      isReading = true
      endOffset = undefined
      beganMs = undefined
      runInBackground(events, 'leases.read', follow().finally(() => { isReading = false }))
    },
    endOffset: () => endOffset,
    restart: isAnswering => {
      restartCount += 1
      if (isAnswering) beganMs = undefined
      endOffset = undefined
      cancelRead()
    }
  }
}
