import { requestId } from './checkRequests.js'
import { PromiseName } from './types.js'

import type { EventRecord } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

const isOnceRun = (event: EventRecord): boolean => event.name === 'engineRunStarted' && event.repeatable === false

const runsByRequest = (events: readonly TimedEvent[]): ReadonlyMap<string, readonly TimedEvent[]> => {
  const runs = new Map<string, readonly TimedEvent[]>()
  for (const timed of events) {
    if (!isOnceRun(timed.event)) continue
    const id = requestId(timed.event)
    runs.set(id, [...runs.get(id) ?? [], timed])
  }
  return runs
}

/** Each request that may not be repeated left for a backend server at most once. */
export const checkOnce: PromiseCheck = events => {
  const violations: Violation[] = []
  for (const [id, runs] of runsByRequest(events)) {
    if (runs.length <= 1) continue
    violations.push({ promise: PromiseName.Once, detail: `${id} ran ${runs.length} times`, evidence: runs })
  }
  return violations
}

/**
 * No run of a request that may not be repeated had left for a backend server before a router told
 * its caller "not run". A run after the refusal is a new send by the caller.
 */
export const checkNotRun: PromiseCheck = events => {
  const runs = runsByRequest(events)
  const violations: Violation[] = []
  for (const timed of events) {
    const { event } = timed
    if (event.role !== 'router' || event.name !== 'requestRefused' || event.runState !== 'not_run') continue
    const earlier = (runs.get(requestId(event)) ?? []).filter(run => run.atMs < timed.atMs)
    if (earlier.length === 0) continue
    violations.push({ promise: PromiseName.NotRun, detail: `${requestId(event)} had run`, evidence: [...earlier, timed] })
  }
  return violations
}
