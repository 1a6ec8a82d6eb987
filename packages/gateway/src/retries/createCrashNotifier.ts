import type { TimerService } from '@figmount/base'
import type { Crash, CrashNotice } from '@figmount/fleet'

/** Crashes within this time go out as one message; a caller takes longer to send its request again. */
const BATCH_MS = 50

/** Tells other routers of requests that were running when their servers died. */
export interface CrashNotifier {
  readonly notify: (crash: Crash) => void
}

/**
 * Gathers crashes before they go out.
 *
 * Guards against an engine's death with dozens of requests: told one by one through two agents each, they were thousands of messages at once.
 */
export const createCrashNotifier = (timers: TimerService, send: (notice: CrashNotice) => void): CrashNotifier => {
  let batch: readonly Crash[] = []

  const flush = (): void => {
    send({ type: 'crash', crashes: batch })
    batch = []
  }

  return {
    notify: crash => {
      if (batch.length === 0) timers.after(BATCH_MS, flush)
      batch = [...batch, crash]
    }
  }
}
