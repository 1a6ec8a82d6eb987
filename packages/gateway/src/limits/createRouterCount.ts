import { leastCount, noteCount, ROUTER_RETENTION_MS } from '@figmount/decisions'

import type { TimerService } from '@figmount/base'

const MIN_COUNT = 1

/** The highest number of routers that agents have reported recently. */
export interface RouterCount {
  readonly note: (count: number) => void
  readonly count: () => number
}

/** Creates the count of one router. A router that is cut off is counted for a while, because it still admits its share of all limits. */
export const createRouterCount = (timers: TimerService): RouterCount => {
  let highest = leastCount(MIN_COUNT)
  return {
    note: count => { highest = noteCount(highest, count, MIN_COUNT, ROUTER_RETENTION_MS, timers.nowMs()) },
    count: () => highest.count
  }
}
