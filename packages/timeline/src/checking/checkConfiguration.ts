import { PromiseName } from './types.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

/** The version of a configuration item in force never decreases within an instance; every decrease is a violation. */
export const checkConfiguration: PromiseCheck = events => {
  const latestByItem = new Map<string, TimedEvent>()
  const violations: Violation[] = []
  for (const timed of events) {
    const { event } = timed
    if (event.name !== 'configInForce') continue
    const key = `${event.instance}\u0000${event.item ?? ''}`
    const earlier = latestByItem.get(key)
    latestByItem.set(key, timed)
    if (!earlier || Number(earlier.event.version) <= Number(event.version)) continue
    const detail = `${event.instance}: ${event.item ?? ''} went from version ${earlier.event.version ?? ''} to ${event.version ?? ''}`
    violations.push({ promise: PromiseName.Configuration, detail, evidence: [earlier, timed] })
  }
  return violations
}
