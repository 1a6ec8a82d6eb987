import { createCrashHistory, createPartHistory } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { AnsweredRequest, Crash, CrashNotice, PartDeath } from '@figmount/fleet'

/** Crashes that routers have reported to the agent. */
export interface CrashNotices {
  /** The part of a router's notice that the agent did not know: it is for the other routers. Undefined if there is none. */
  readonly takeNew: (notice: CrashNotice) => CrashNotice | undefined
  /** All known crashes, for a router that has just linked; undefined if there are none. */
  readonly all: () => CrashNotice | undefined
}

const unlessEmpty = (notice: CrashNotice): CrashNotice | undefined => {
  const { crashes, answered, partDeaths, partProofs } = notice
  return crashes.length + answered.length + partDeaths.length + partProofs.length > 0 ? notice : undefined
}

/**
 * Remembers what routers report of crashes.
 *
 * Guards against a router that has just started, or was cut off, and sends a request on that has killed servers at the others.
 */
export const createCrashNotices = (timers: TimerService): CrashNotices => {
  const requests = createCrashHistory(timers)
  const parts = createPartHistory(timers)

  const answersTo = (crashes: readonly Crash[]): readonly AnsweredRequest[] => {
    const answers: AnsweredRequest[] = []
    for (const { identity } of crashes) {
      const answer = requests.answerTo(identity)
      if (answer) answers.push(answer)
    }
    return answers
  }

  const newDeaths = (deaths: readonly PartDeath[]): readonly PartDeath[] => {
    const found: PartDeath[] = []
    for (const death of deaths) {
      const newPart = parts.note(death)
      if (newPart) found.push(newPart)
    }
    return found
  }

  return {
    takeNew: ({ crashes, answered, partDeaths, partProofs }) => unlessEmpty({
      type: 'crash',
      crashes: crashes.filter(crash => requests.note(crash)),
      answered: answered.filter(answer => requests.noteAnswer(answer)),
      partDeaths: newDeaths(partDeaths),
      partProofs: partProofs.filter(proof => parts.noteProof(proof))
    }),
    all: () => {
      const crashes = requests.crashes()
      return unlessEmpty({ type: 'crash', crashes, answered: answersTo(crashes), partDeaths: parts.deaths(), partProofs: [] })
    }
  }
}
