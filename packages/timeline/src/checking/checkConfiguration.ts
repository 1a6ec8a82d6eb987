import { PromiseName } from './types.js'

import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

/** In every process, the versions of an item that come into force only go up; a restart begins anew. */
export const checkConfiguration: PromiseCheck = events => {
  const inForce = new Map<string, TimedEvent>()
  const violations: Violation[] = []
  for (const timed of events) {
    const { event } = timed
    if (event.name !== 'configInForce') continue
    const key = `${event.instance}\u0000${event.item ?? ''}`
    const earlier = inForce.get(key)
    inForce.set(key, timed)
    if (!earlier || Number(earlier.event.version) <= Number(event.version)) continue
    const detail = `${event.instance}: ${event.item ?? ''} went from version ${earlier.event.version ?? ''} to ${event.version ?? ''}`
    violations.push({ promise: PromiseName.Configuration, detail, evidence: [earlier, timed] })
  }
  return violations
}
