import { DEATH_CHECK_PERIOD_MS } from '../crashes/constants.js'

import type { TimerService } from '@figmount/base'

/** A run whose events paused for this much longer than ever before has fallen silent. */
const SILENCE_FACTOR = 1.5

/** Whether events still come on the connection of a run. */
export interface RunPulse {
  readonly noteEvent: () => void
  /** No event for longer than the run's events have paused so far; true before the first event. */
  readonly isSilent: () => boolean
}

/** Creates the pulse of one run that was just sent. */
export const createRunPulse = (timers: TimerService): RunPulse => {
  let lastEventMs = -Infinity
  let longestPauseMs = DEATH_CHECK_PERIOD_MS
  return {
    noteEvent: () => {
      const nowMs = timers.nowMs()
      if (lastEventMs > -Infinity) longestPauseMs = Math.max(longestPauseMs, nowMs - lastEventMs)
      lastEventMs = nowMs
    },
    isSilent: () => timers.nowMs() - lastEventMs > longestPauseMs * SILENCE_FACTOR
  }
}
