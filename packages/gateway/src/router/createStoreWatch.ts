import { RELIST_GRACE_MS } from '@figmount/fleet'

import { addRead } from '../directory/answeredSpan.js'

import type { TimerService } from '@figmount/base'
import type { AnsweredRead, AnsweredSpan } from '../directory/answeredSpan.js'
import type { Doubt } from '../directory/createMissingEntries.js'

/** Longest time between two answered reads in which the store counts as available, in shares of the time within which routers must stop using a leaving server. */
const MAX_GAP_SHARE = 1.5

/** Share of that time for which a server may be kept whose entry was there when its last read began: requests on their way need the rest. */
const KEEP_SHARE = 0.9

interface Options {
  readonly timers: TimerService
  /** Time within which routers must stop using a leaving server. */
  readonly leaveMs: number
  readonly setDoubt: (doubt: Doubt | undefined) => void
}

/** What one router knows of the store's availability. */
export interface StoreWatch {
  /** The store has answered a read of this router, or of another one that has passed it on. Called before its records are taken. */
  readonly noteAnswered: (read: AnsweredRead) => void
  /** The records of a read that began then were taken, and of all reads before it. */
  readonly noteTaken: (beganMs: number) => void
  /** An own read has failed. */
  readonly noteFailed: (beganMs: number) => void
  /** The store has come back from an older copy: servers that are missing in it write their entries again. */
  readonly noteRestored: () => void
  /** Time before a moment in which the store is known to have answered. */
  readonly answeredForMs: (atMs: number) => number
  /** Own reads have failed of late, so that entries may have expired. */
  readonly hasSeenBreak: () => boolean
}

/**
 * Creates the watch of one router.
 *
 * Guards against one router's doubt that becomes everyone's: a router that has read the store all the while would go on sending to
 * servers that have left. Another router's doubt counts only for as long as a server may be used whose entry was there at the last read.
 */
export const createStoreWatch = ({ timers, leaveMs, setDoubt }: Options): StoreWatch => {
  let span: AnsweredSpan | undefined
  let failedMs = -Infinity
  let takenMs = -Infinity

  const keepReported = (): number => takenMs + leaveMs * KEEP_SHARE

  const doubtOf = (known: AnsweredSpan): Doubt | undefined => {
    if (failedMs > known.untilMs) return { untilMs: Infinity, keepUntilMs: () => Infinity, reason: 'the store does not answer' }
    const untilMs = known.sinceMs + RELIST_GRACE_MS
    if (known.storeBreak === 'none' || untilMs <= timers.nowMs()) return undefined
    if (known.storeBreak === 'seen') return { untilMs, keepUntilMs: () => Infinity, reason: 'the store did not answer' }
    return { untilMs, keepUntilMs: keepReported, reason: 'the store did not answer another router' }
  }

  const review = (): void => { if (span) setDoubt(doubtOf(span)) }

  return {
    noteAnswered: read => {
      span = addRead(span, read, { maxGapMs: leaveMs * MAX_GAP_SHARE, failedMs })
      review()
    },
    noteTaken: beganMs => { takenMs = Math.max(takenMs, beganMs) },
    noteFailed: beganMs => {
      failedMs = beganMs
      review()
    },
    noteRestored: () => {
      const nowMs = timers.nowMs()
      span = { sinceMs: nowMs, untilMs: nowMs, storeBreak: 'seen' }
      review()
    },
    answeredForMs: atMs => span ? Math.max(0, atMs - span.sinceMs) : 0,
    hasSeenBreak: () => span?.storeBreak === 'seen' && span.sinceMs + RELIST_GRACE_MS > timers.nowMs()
  }
}
