import { PromiseName } from './types.js'

import type { EventRecord } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Violation } from './types.js'

const ENDS: ReadonlySet<string> = new Set(['requestAnswered', 'requestRefused', 'requestLeft'])

/** Time after its deadline by which a request must have ended. */
const END_GRACE_MS = 2_000

/** Names a request across processes. */
export const requestId = (event: EventRecord): string => `${event.caller ?? ''}/${event.requestKey ?? ''}`

const hereOf = (event: EventRecord): string => `${event.instance}\u0000${requestId(event)}`

interface Lifetimes {
  /** Requests that a router received and has not ended. */
  readonly open: readonly TimedEvent[]
  readonly lastSeenMs: ReadonlyMap<string, number>
  readonly stopped: ReadonlyMap<string, TimedEvent>
}

/** Follows each request at each router. A resend that arrives while the first is open counts as one more. */
const followRequests = (events: readonly TimedEvent[]): Lifetimes => {
  const open = new Map<string, readonly TimedEvent[]>()
  const lastSeenMs = new Map<string, number>()
  const stopped = new Map<string, TimedEvent>()
  for (const timed of events) {
    const { event, atMs } = timed
    if (event.role !== 'router') continue
    lastSeenMs.set(event.instance, atMs)
    if (event.name === 'processStopped') stopped.set(event.instance, timed)
    const here = hereOf(event)
    const waiting = open.get(here) ?? []
    if (event.name === 'requestReceived') open.set(here, [...waiting, timed])
    if (ENDS.has(event.name)) open.set(here, waiting.slice(1))
  }
  return { open: [...open.values()].flat(), lastSeenMs, stopped }
}

/** Every request that a living router received has ended by its deadline. */
export const checkEnded: PromiseCheck = events => {
  const { open, lastSeenMs, stopped } = followRequests(events)
  const violations: Violation[] = []
  for (const timed of open) {
    const { event, atMs } = timed
    if (stopped.has(event.instance)) continue
    const dueMs = atMs + (event.waitMs ?? Infinity) + END_GRACE_MS
    if ((lastSeenMs.get(event.instance) ?? 0) < dueMs) continue
    const detail = `${requestId(event)} was received by ${event.instance} and neither answered nor refused`
    violations.push({ promise: PromiseName.Ended, detail, evidence: [timed] })
  }
  return violations
}

/** A router that stopped as planned had ended every request. */
export const checkGraceful: PromiseCheck = events => {
  const { open, stopped } = followRequests(events)
  const violations: Violation[] = []
  for (const timed of open) {
    const stop = stopped.get(timed.event.instance)
    if (!stop) continue
    const detail = `${requestId(timed.event)} was open when ${timed.event.instance} stopped`
    violations.push({ promise: PromiseName.Graceful, detail, evidence: [timed, stop] })
  }
  return violations
}
