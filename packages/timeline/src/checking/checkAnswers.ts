import { requestId } from './checkRequests.js'
import { PromiseName } from './types.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

/** A caller takes one whole answer for a key; a second one, or one that it found broken, is a violation. */
export const checkAnswers: PromiseCheck = events => {
  const answers = new Map<string, TimedEvent>()
  const violations: Violation[] = []
  for (const timed of events) {
    const { event } = timed
    if (event.name === 'answerWrong') {
      violations.push({ promise: PromiseName.Answers, detail: `${requestId(event)}: ${event.reason ?? 'broken answer'}`, evidence: [timed] })
    }
    if (event.name !== 'answerWhole') continue
    const id = requestId(event)
    const first = answers.get(id)
    if (first) violations.push({ promise: PromiseName.Answers, detail: `${id} was answered twice`, evidence: [first, timed] })
    answers.set(id, timed)
  }
  return violations
}
