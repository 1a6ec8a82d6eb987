import { createCrashHistory } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { AnsweredRequest, Crash, CrashNotice } from '@figmount/fleet'

/** Crashes that routers have reported to the agent. */
export interface CrashNotices {
  /** The part of a router's notice that the agent did not know: it is for the other routers. Undefined if there is none. */
  readonly takeNew: (notice: CrashNotice) => CrashNotice | undefined
  /** All known crashes, for a router that has just linked; undefined if there are none. */
  readonly all: () => CrashNotice | undefined
}

/**
 * Remembers what routers report of crashes.
 *
 * Guards against a router that has just started, or was cut off, and sends a request on that has killed servers at the others.
 */
export const createCrashNotices = (timers: TimerService): CrashNotices => {
  const history = createCrashHistory(timers)

  const makeNotice = (crashes: readonly Crash[], answered: readonly AnsweredRequest[]): CrashNotice | undefined =>
    crashes.length + answered.length > 0 ? { type: 'crash', crashes, answered } : undefined

  const answersTo = (crashes: readonly Crash[]): readonly AnsweredRequest[] => {
    const answers: AnsweredRequest[] = []
    for (const { identity } of crashes) {
      const answer = history.answerTo(identity)
      if (answer) answers.push(answer)
    }
    return answers
  }

  return {
    takeNew: ({ crashes, answered }) => makeNotice(crashes.filter(crash => history.note(crash)), answered.filter(answer => history.noteAnswer(answer))),
    all: () => {
      const crashes = history.crashes()
      return makeNotice(crashes, answersTo(crashes))
    }
  }
}
