import { countedForMs, newMember, noteCounted, noteRouterCount } from '@figmount/decisions'

import type { TimerService, Unsubscribe } from '@figmount/base'

/** How often a router notes that it is counted. */
const REVIEW_MS = 500

/** What a router knows of the number of routers: it shares bounds with all of them. */
export interface RouterMembership {
  /** Somebody who counts routers reports their number. */
  readonly note: (count: number) => void
  /** The highest number reported in the last minutes. */
  readonly routerCount: () => number
  /** False while nobody has told a number since this router started. */
  readonly isKnown: () => boolean
  /** Time for which the others have counted this router; 0 while they may not. */
  readonly countedForMs: () => number
  readonly stop: Unsubscribe
}

/** Creates the membership of one router. `isCounted` tells whether somebody counts it now. */
export const createRouterMembership = (timers: TimerService, isCounted: () => boolean): RouterMembership => {
  let member = newMember
  const review = (): void => { if (isCounted()) member = noteCounted(member, timers.nowMs()) }
  return {
    note: count => { member = noteRouterCount(member, count, timers.nowMs()) },
    routerCount: () => member.routers.count,
    isKnown: () => Number.isFinite(member.routers.heardMs),
    countedForMs: () => countedForMs(member, timers.nowMs()),
    stop: timers.every(REVIEW_MS, review)
  }
}
