import { FALLBACK_MS } from './constants.js'

import type { TimerService } from '@figmount/base'

/** How long one kind of calls to the store has failed. */
export interface Outage {
  readonly noteFailure: (beganMs: number) => void
  readonly noteAnswer: () => void
  /** The calls have failed for so long that loads begin without a lease. */
  readonly isLong: () => boolean
}

/** Creates the state of one kind of calls. */
export const createOutage = (timers: TimerService): Outage => {
  let sinceMs: number | undefined
  return {
    noteFailure: beganMs => { sinceMs ??= beganMs },
    noteAnswer: () => { sinceMs = undefined },
    isLong: () => sinceMs !== undefined && timers.nowMs() - sinceMs >= FALLBACK_MS
  }
}
