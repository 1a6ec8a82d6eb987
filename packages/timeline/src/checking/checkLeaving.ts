import { PromiseName } from './types.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

/** New work may still arrive for this long after an instance began to leave. */
export const LEAVING_GRACE_MS = 3_000

/** No agent admits work later than LEAVING_GRACE_MS after it began to drain. */
export const checkLeaving: PromiseCheck = events => {
  const draining = new Map<string, TimedEvent>()
  const violations: Violation[] = []
  for (const timed of events) {
    const { event, atMs } = timed
    if (event.name === 'drainStarted') draining.set(event.instance, timed)
    if (event.name === 'drainEnded' || event.name === 'processStarted') draining.delete(event.instance)
    if (event.name !== 'attemptQueued') continue
    const began = draining.get(event.instance)
    if (!began || atMs - began.atMs <= LEAVING_GRACE_MS) continue
    const detail = `${event.instance} took new work ${Math.round(atMs - began.atMs)} ms after it began to leave`
    violations.push({ promise: PromiseName.Leaving, detail, evidence: [began, timed] })
  }
  return violations
}
