import type { TimerService } from '@figmount/base'
import type { RecordsClient } from '@figmount/records'

/** Age of the last confirmed read of the log above which a router makes no proposals: its state may be outdated. */
const MAX_LOG_AGE_MS = 5_000

/** True if this router's state of the log is recent enough to make proposals. */
export const isLogFresh = (records: RecordsClient, timers: TimerService): boolean =>
  records.isReady() && timers.nowMs() - records.confirmedAtMs() < MAX_LOG_AGE_MS
