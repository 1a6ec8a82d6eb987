import { requestId } from './checkRequests.js'
import { PromiseName } from './types.js'

import type { EventRecord } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

const isNonRepeatableRun = (event: EventRecord): boolean => event.name === 'engineRunStarted' && event.repeatable === false

const findNonRepeatableRuns = (events: readonly TimedEvent[]): ReadonlyMap<string, readonly TimedEvent[]> => {
  const runs = new Map<string, readonly TimedEvent[]>()
  for (const timed of events) {
    if (!isNonRepeatableRun(timed.event)) continue
    const id = requestId(timed.event)
    runs.set(id, [...runs.get(id) ?? [], timed])
  }
  return runs
}

/** A request that may not be repeated is sent to a backend server at most once. */
export const checkAtMostOnce: PromiseCheck = events => {
  const violations: Violation[] = []
  for (const [id, runs] of findNonRepeatableRuns(events)) {
    if (runs.length <= 1) continue
    violations.push({ promise: PromiseName.AtMostOnce, detail: `${id} ran ${runs.length} times`, evidence: runs })
  }
  return violations
}

/**
 * If a router refuses a request that may not be repeated as "not run", the request was not sent to a backend server before the refusal.
 * A run after the refusal belongs to a new send by the caller.
 */
export const checkNotRun: PromiseCheck = events => {
  const runs = findNonRepeatableRuns(events)
  const violations: Violation[] = []
  for (const timed of events) {
    const { event } = timed
    if (event.role !== 'router' || event.name !== 'requestRefused' || event.runState !== 'not_run') continue
    const earlier = (runs.get(requestId(event)) ?? []).filter(run => run.atMs < timed.atMs)
    if (earlier.length === 0) continue
    violations.push({ promise: PromiseName.NotRun, detail: `${requestId(event)} had run before it was refused`, evidence: [...earlier, timed] })
  }
  return violations
}
