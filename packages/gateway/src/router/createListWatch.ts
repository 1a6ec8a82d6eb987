import { createStandstillWatch } from '@figmount/base'

import type { TimerService, Unsubscribe } from '@figmount/base'

/** How old one router's list of servers is. */
export interface ListWatch {
  /** The records of a read that began then were taken; of this router, or of another one that has passed it on in time. */
  readonly note: (beganMs: number) => void
  /** Time since the newest of these reads began; Infinity before the first one. */
  readonly ageMs: () => number
  /** The process has stood still since that read began. */
  readonly hasStoodStill: () => boolean
  readonly stop: Unsubscribe
}

/** Creates the watch of one router. */
export const createListWatch = (timers: TimerService): ListWatch => {
  const standstills = createStandstillWatch(timers, () => {})
  let asOfMs = -Infinity
  return {
    note: beganMs => { asOfMs = Math.max(asOfMs, beganMs) },
    ageMs: () => timers.nowMs() - asOfMs,
    hasStoodStill: () => standstills.wokeMs() > asOfMs,
    stop: standstills.stop
  }
}
