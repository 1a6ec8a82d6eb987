import type { TimerService } from '@figmount/base'
import type { CrashNotice } from '@figmount/fleet'

/** Crashes within this time are sent as one message; a caller takes longer to resend its request. */
const GATHER_MS = 50

/** What is reported; all lists together may be empty. */
export type CrashNews = Partial<Omit<CrashNotice, 'type'>>

/** Reports to other routers what was running when servers died, and what was answered since. */
export interface CrashNotifier {
  readonly notify: (news: CrashNews) => void
}

const NO_NEWS: CrashNotice = { type: 'crash', crashes: [], answered: [], partDeaths: [], partProofs: [] }

const isEmpty = ({ crashes, answered, partDeaths, partProofs }: CrashNotice): boolean =>
  crashes.length + answered.length + partDeaths.length + partProofs.length === 0

/**
 * Gathers crashes before they are sent.
 *
 * Guards against a flood of messages when an engine dies with dozens of requests: sent one by one through two agents each, they were
 * thousands of messages at once.
 */
export const createCrashNotifier = (timers: TimerService, send: (notice: CrashNotice) => void): CrashNotifier => {
  let gathered = NO_NEWS

  const flush = (): void => {
    const notice = gathered
    gathered = NO_NEWS
    send(notice)
  }

  return {
    notify: ({ crashes = [], answered = [], partDeaths = [], partProofs = [] }) => {
      const wasEmpty = isEmpty(gathered)
      gathered = {
        type: 'crash',
        crashes: [...gathered.crashes, ...crashes],
        answered: [...gathered.answered, ...answered],
        partDeaths: [...gathered.partDeaths, ...partDeaths],
        partProofs: [...gathered.partProofs, ...partProofs]
      }
      if (wasEmpty && !isEmpty(gathered)) timers.after(GATHER_MS, flush)
    }
  }
}
