import { PromiseName } from './types.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

/** Time after the start of a drain during which an agent may still admit work. */
export const LEAVING_GRACE_MS = 3_000

/** An agent admits no work later than LEAVING_GRACE_MS after it started to drain, until the drain ends or the agent restarts. */
export const checkLeaving: PromiseCheck = events => {
  const drainStarts = new Map<string, TimedEvent>()
  const violations: Violation[] = []
  for (const timed of events) {
    const { event, atMs } = timed
    if (event.name === 'drainStarted') drainStarts.set(event.instance, timed)
    if (event.name === 'drainEnded' || event.name === 'processStarted') drainStarts.delete(event.instance)
    if (event.name !== 'attemptQueued') continue
    const drainStart = drainStarts.get(event.instance)
    if (!drainStart || atMs - drainStart.atMs <= LEAVING_GRACE_MS) continue
    const detail = `${event.instance} admitted new work ${Math.round(atMs - drainStart.atMs)} ms after it started to drain`
    violations.push({ promise: PromiseName.Leaving, detail, evidence: [drainStart, timed] })
  }
  return violations
}
