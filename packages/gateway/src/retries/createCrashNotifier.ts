import type { TimerService } from '@figmount/base'
import type { Crash, CrashNotice } from '@figmount/fleet'

/** Crashes within this time are sent as one message; a caller takes longer to resend its request. */
const GATHER_MS = 50

/** Reports to other routers which requests were running when their servers died. */
export interface CrashNotifier {
  readonly notify: (crash: Crash) => void
}

/**
 * Gathers crashes before they are sent.
 *
 * Guards against a flood of messages when an engine dies with dozens of requests: sent one by one through two agents each, they were
 * thousands of messages at once.
 */
export const createCrashNotifier = (timers: TimerService, send: (notice: CrashNotice) => void): CrashNotifier => {
  let gathered: readonly Crash[] = []

  const flush = (): void => {
    send({ type: 'crash', crashes: gathered })
    gathered = []
  }

  return {
    notify: crash => {
      if (gathered.length === 0) timers.after(GATHER_MS, flush)
      gathered = [...gathered, crash]
    }
  }
}
