import type { TimerService } from '@figmount/base'

/** Time for which the highest count is kept: a router that was not seen for longer is gone. */
const RETENTION_MS = 30_000

/** The highest number of routers that agents have reported recently. */
export interface RouterCount {
  readonly note: (count: number) => void
  readonly count: () => number
}

/** Creates the count of one router. A router that is cut off is counted for a while, because it still admits its share of all limits. */
export const createRouterCount = (timers: TimerService): RouterCount => {
  let most = 1
  let seenMs = -Infinity
  return {
    note: count => {
      const nowMs = timers.nowMs()
      if (count < most && nowMs - seenMs < RETENTION_MS) return
      most = Math.max(1, count)
      seenMs = nowMs
    },
    count: () => most
  }
}
