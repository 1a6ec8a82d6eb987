import type { TimerService, Unsubscribe } from '@figmount/base'
import type { Stop } from './types.js'

interface Options {
  readonly stop: Stop
  readonly timers: TimerService
  readonly objectiveMs: number
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
export const limitWait = ({ stop, timers, objectiveMs, readyAtMs, giveUp }: Options): Unsubscribe => {
  let cancelTimer: Unsubscribe = () => {}
  const limit = (): void => {
    const lastSendMs = stop.lastSendMs(objectiveMs)
    if (readyAtMs > lastSendMs) return giveUp()
    cancelTimer = timers.after(Math.max(0, lastSendMs - timers.nowMs()), giveUp)
  }
  const unsubscribe = stop.onAsked(limit)
  if (stop.isAsked()) limit()
  return () => {
    unsubscribe()
    cancelTimer()
  }
}
