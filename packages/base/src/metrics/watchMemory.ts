import { BaseEvent } from '../events/catalogue.js'

import type { EventLog } from '../events/types.js'
import type { TimerService } from '../timers/types.js'
import type { Metrics } from './types.js'

const REVIEW_PERIOD_MS = 1_000
const BYTES_PER_MB = 1024 * 1024

/** Growth beyond the highest value so far that is worth a line of the log. */
const STEP_MB = 32

/** Serves the process's memory as metrics, and logs its growth: a process that is killed for its memory can't log that any more. */
export const watchMemory = (timers: TimerService, events: EventLog, metrics: Metrics): void => {
  let loggedMb = 0
  metrics.gauge('resident_bytes', () => process.memoryUsage.rss())
  metrics.gauge('heap_used_bytes', () => process.memoryUsage().heapUsed)
  metrics.gauge('buffers_bytes', () => process.memoryUsage().arrayBuffers)
  timers.every(REVIEW_PERIOD_MS, () => {
    const memoryMb = Math.round(process.memoryUsage.rss() / BYTES_PER_MB)
    if (memoryMb < loggedMb + STEP_MB) return
    loggedMb = memoryMb
    events.emit(BaseEvent.memoryGrown, { memoryMb })
  })
}
