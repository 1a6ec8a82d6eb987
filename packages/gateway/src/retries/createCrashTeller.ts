import type { TimerService } from '@figmount/base'
import type { Crash, CrashNotice } from '@figmount/fleet'

/** Crashes within this time go out as one message; a caller takes longer to send its request again. */
const GATHER_MS = 50

/** Tells other routers of requests that were running when their servers died. */
export interface CrashTeller {
  readonly tell: (crash: Crash) => void
}

/**
 * Gathers crashes before they go out.
 *
 * Guards against an engine's death with dozens of requests: told one by one through two agents each, they were thousands of messages at once.
 */
export const createCrashTeller = (timers: TimerService, send: (notice: CrashNotice) => void): CrashTeller => {
  let gathered: readonly Crash[] = []

  const flush = (): void => {
    send({ type: 'crash', crashes: gathered })
    gathered = []
  }

  return {
    tell: crash => {
      if (gathered.length === 0) timers.after(GATHER_MS, flush)
      gathered = [...gathered, crash]
    }
  }
}
