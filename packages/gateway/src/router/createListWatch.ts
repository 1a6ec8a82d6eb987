import { createStandstillWatch } from '@figmount/base'

import { IN_STEP_MS, RETENTION_MS } from '../origins/constants.js'

import type { TimerService, Unsubscribe } from '@figmount/base'

/** Time limit for a read of the list while a request waits: the store answers in 4 ms, in 0.3 s at its slowest. */
const LIST_WAIT_MS = 400

/** Time after a standstill in which arrives what has lain in sockets meanwhile. */
const LATE_DELIVERY_MS = 300

/** How old one router's list of servers is. */
export interface ListWatch {
  /** The records of another router's read that began then were taken. Just after a standstill it doesn't count, as it may be late. */
  readonly noteOther: (beganMs: number) => void
  /** The records of an own read that began then were taken. */
  readonly noteOwn: (beganMs: number) => void
  /** Waits until an own read was taken that began after a moment, for `LIST_WAIT_MS` at most; false if there was none. */
  readonly readAfter: (atMs: number) => Promise<boolean>
  /** Time since the newest of these reads began; Infinity before the first one. */
  readonly ageMs: () => number
  /** The process has stood still since that read began. */
  readonly hasStoodStill: () => boolean
  /** Time since the list was last read before the router was out of step; Infinity if it was not of late. */
  readonly outOfStepAgoMs: () => number
  readonly stop: Unsubscribe
}

/** Creates the watch of one router; `readSoon` has the list read at once. */
export const createListWatch = (timers: TimerService, readSoon: () => void): ListWatch => {
  const standstills = createStandstillWatch(timers, () => {})
  const waiting = new Set<() => void>()
  let asOfMs = -Infinity
  let ownAsOfMs = -Infinity

  let gapBeganMs = -Infinity
  let gapEndedMs = -Infinity

  const hasStoodStill = (): boolean => standstills.wokeMs() > asOfMs

  /** Several gaps of late count as one. */
  const noteGap = (): void => {
    const nowMs = timers.nowMs()
    if (nowMs - gapEndedMs > RETENTION_MS) gapBeganMs = asOfMs
    gapEndedMs = nowMs
  }

  const note = (beganMs: number): void => {
    if (asOfMs > -Infinity && (hasStoodStill() || beganMs - asOfMs > IN_STEP_MS)) noteGap()
    asOfMs = Math.max(asOfMs, beganMs)
  }

  return {
    noteOther: beganMs => { if (timers.nowMs() - standstills.wokeMs() >= LATE_DELIVERY_MS) note(beganMs) },
    noteOwn: beganMs => {
      note(beganMs)
      ownAsOfMs = beganMs
      for (const review of [...waiting]) review()
    },
    readAfter: async atMs => await new Promise(resolve => {
      const settle = (isRead: boolean): void => {
        stopTimer()
        waiting.delete(review)
        resolve(isRead)
      }
      const review = (): void => { ownAsOfMs >= atMs ? settle(true) : readSoon() }
      const stopTimer = timers.after(LIST_WAIT_MS, () => { settle(false) })
      waiting.add(review)
      review()
    }),
    ageMs: () => timers.nowMs() - asOfMs,
    hasStoodStill,
    outOfStepAgoMs: () => timers.nowMs() - gapEndedMs > RETENTION_MS ? Infinity : timers.nowMs() - gapBeganMs,
    stop: standstills.stop
  }
}
