import type { TimerService } from '@figmount/base'

/** A router that is out of sight for longer than this is gone. */
const RETENTION_MS = 30_000

/** The most routers that agents have told of lately. */
export interface RouterCount {
  readonly note: (count: number) => void
  readonly count: () => number
}

/** Makes the count of one router. One that is cut off counts on, as it has its part of all limits too. */
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
