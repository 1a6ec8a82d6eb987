import { PromiseName } from './types.js'

import type { EventRecord } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

const END_EVENTS: ReadonlySet<string> = new Set(['requestAnswered', 'requestRefused', 'requestLeft'])

/** Time after its deadline by which a request must have ended. */
const END_GRACE_MS = 2_000

/** Identifies a request across processes. */
export const requestId = (event: EventRecord): string => `${event.caller ?? ''}/${event.requestKey ?? ''}`

const routerRequestKey = (event: EventRecord): string => `${event.instance}\u0000${requestId(event)}`

interface TrackedRequests {
  /** Requests that a router received and that have not ended, by their `requestReceived` event. */
  readonly open: readonly TimedEvent[]
  readonly lastSeenMs: ReadonlyMap<string, number>
  readonly stopped: ReadonlyMap<string, TimedEvent>
}

/** Tracks each request at each router. A resend that arrives while the first one is open counts as a further request. */
const trackRequests = (events: readonly TimedEvent[]): TrackedRequests => {
  const open = new Map<string, readonly TimedEvent[]>()
  const lastSeenMs = new Map<string, number>()
  const stopped = new Map<string, TimedEvent>()
  for (const timed of events) {
    const { event, atMs } = timed
    if (event.role !== 'router') continue
    lastSeenMs.set(event.instance, atMs)
    if (event.name === 'processStopped') stopped.set(event.instance, timed)
    const key = routerRequestKey(event)
    const openForKey = open.get(key) ?? []
    if (event.name === 'requestReceived') open.set(key, [...openForKey, timed])
    if (END_EVENTS.has(event.name)) open.set(key, openForKey.slice(1))
  }
  return { open: [...open.values()].flat(), lastSeenMs, stopped }
}

/** A request ends by its deadline if the router that received it is still running then. */
export const checkRequestsEnded: PromiseCheck = events => {
  const { open, lastSeenMs, stopped } = trackRequests(events)
  const violations: Violation[] = []
  for (const timed of open) {
    const { event, atMs } = timed
    if (stopped.has(event.instance)) continue
    const dueMs = atMs + (event.waitMs ?? Infinity) + END_GRACE_MS
    if ((lastSeenMs.get(event.instance) ?? 0) < dueMs) continue
    const detail = `${requestId(event)} was received by ${event.instance} and was neither answered nor refused`
    violations.push({ promise: PromiseName.RequestsEnded, detail, evidence: [timed] })
  }
  return violations
}

/** A router that stopped gracefully has no request open. */
export const checkGracefulStop: PromiseCheck = events => {
  const { open, stopped } = trackRequests(events)
  const violations: Violation[] = []
  for (const timed of open) {
    const stop = stopped.get(timed.event.instance)
    if (!stop) continue
    const detail = `${requestId(timed.event)} was open when ${timed.event.instance} stopped`
    violations.push({ promise: PromiseName.GracefulStop, detail, evidence: [timed, stop] })
  }
  return violations
}
