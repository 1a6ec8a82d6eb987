import type { TimerService } from '@figmount/base'
import type { RecordsClient } from '@figmount/records'

/** A router whose log has not answered for this long proposes nothing: its view may be old. */
const FRESH_MS = 5_000

/** Whether a router's view of the log is new enough to propose by. */
export const isLogFresh = (records: RecordsClient, timers: TimerService): boolean =>
  records.isReady() && timers.nowMs() - records.confirmedAtMs() < FRESH_MS
