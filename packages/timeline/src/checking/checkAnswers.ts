import { requestId } from './checkRequests.js'
import { PromiseName } from './types.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

/** A caller receives one complete answer per key: a second answer, or one that the caller found wrong, is a violation. */
export const checkAnswers: PromiseCheck = events => {
  const answers = new Map<string, TimedEvent>()
  const violations: Violation[] = []
  for (const timed of events) {
    const { event } = timed
    if (event.name === 'answerWrong') {
      violations.push({ promise: PromiseName.WholeAnswers, detail: `${requestId(event)}: ${event.reason ?? 'broken answer'}`, evidence: [timed] })
    }
    if (event.name !== 'answerWhole') continue
    const id = requestId(event)
    const earlier = answers.get(id)
    if (earlier) violations.push({ promise: PromiseName.WholeAnswers, detail: `${id} was answered twice`, evidence: [earlier, timed] })
    answers.set(id, timed)
  }
  return violations
}
