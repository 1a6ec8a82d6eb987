import type { TimerService, Unsubscribe } from '@figmount/base'
import type { Stop } from './types.js'

interface Options {
  readonly stop: Stop
  readonly timers: TimerService
  /** Time after which the waiting request is not sent any more. */
  readonly lastSendMs: () => number
  /** Time at which the wait is expected to end. */
  readonly readyAtMs: number
  readonly giveUp: () => void
}

/**
 * Ends a wait for which a stop leaves no time.
 *
 * Guards against a request that waits longer than its router lives: the end of the stop closed its connection without an answer, although
 * it could have been refused as not run. A wait that is expected to outlast the stop ends as soon as the stop is requested, so that its
 * caller has the most time left for another router; one that turns out to be too long ends at the last time to send.
 */
export const limitWait = ({ stop, timers, lastSendMs, readyAtMs, giveUp }: Options): Unsubscribe => {
  let cancelTimer: Unsubscribe = () => {}
  const limit = (): void => {
    const lastMs = lastSendMs()
    if (readyAtMs > lastMs) return giveUp()
    cancelTimer = timers.after(Math.max(0, lastMs - timers.nowMs()), giveUp)
  }
  const unsubscribe = stop.onAsked(limit)
  if (stop.isAsked()) limit()
  return () => {
    unsubscribe()
    cancelTimer()
  }
}
