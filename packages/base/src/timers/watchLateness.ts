import { BaseEvent } from '../events/catalogue.js'

import type { EventLog } from '../events/types.js'
import type { Metrics } from '../metrics/types.js'
import type { TimerService } from './types.js'

const TICK_MS = 250

/** Lateness of a timer that is worth a line of the log. */
const MIN_LATE_MS = 100

/** Counts and logs how late the process's timers run: what arrives at its connections is read as late. */
export const watchLateness = (timers: TimerService, events: EventLog, metrics: Metrics): void => {
  let lastMs = timers.nowMs()
  timers.every(TICK_MS, () => {
    const nowMs = timers.nowMs()
    const lateMs = Math.max(0, Math.round(nowMs - lastMs - TICK_MS))
    lastMs = nowMs
    metrics.count('late_ms_total', lateMs)
    if (lateMs >= MIN_LATE_MS) events.emit(BaseEvent.processLate, { durationMs: lateMs })
  })
}
