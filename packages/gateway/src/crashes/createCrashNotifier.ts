import type { TimerService } from '@figmount/base'
import type { AnsweredRequest, Crash, CrashNotice } from '@figmount/fleet'

/** Crashes within this time are sent as one message; a caller takes longer to resend its request. */
const GATHER_MS = 50

/** Reports to other routers which requests were running when their servers died, and which of them were answered since. */
export interface CrashNotifier {
  readonly notify: (crash: Crash) => void
  readonly notifyAnswered: (answer: AnsweredRequest) => void
}

/**
 * Gathers crashes before they are sent.
 *
 * Guards against a flood of messages when an engine dies with dozens of requests: sent one by one through two agents each, they were
 * thousands of messages at once.
 */
export const createCrashNotifier = (timers: TimerService, send: (notice: CrashNotice) => void): CrashNotifier => {
  let crashes: readonly Crash[] = []
  let answered: readonly AnsweredRequest[] = []

  const flush = (): void => {
    send({ type: 'crash', crashes, answered })
    crashes = []
    answered = []
  }

  const flushSoon = (): void => {
    if (crashes.length + answered.length === 0) timers.after(GATHER_MS, flush)
  }

  return {
    notify: crash => {
      flushSoon()
      crashes = [...crashes, crash]
    },
    notifyAnswered: answer => {
      flushSoon()
      answered = [...answered, answer]
    }
  }
}
