import type { TimerService, Unsubscribe } from '@figmount/base'
import type { Stop } from './types.js'

interface Options {
  readonly stop: Stop
  readonly timers: TimerService
  /** Time after which what waits is not sent any more. */
  readonly lastSendMs: () => number
  /** When what is waited for is expected. */
  readonly readyAtMs: number
  readonly giveUp: () => void
}

/**
 * Ends a wait that a stop leaves no time for.
 *
 * Guards against a request whose wait outlasts its router: the end of the stop closed its connection without an answer,
 * though "not run" was true. A wait that is expected to outlast the stop ends as soon as the stop is asked for, so that
 * its caller has the most time left elsewhere; one that turns out to do so ends with the last time to send.
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
