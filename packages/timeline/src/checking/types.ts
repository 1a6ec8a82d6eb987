import type { TimedEvent } from '../ordering/orderEvents.js'

/** The promises that can be checked from events. */
export const PromiseName = {
  Replicas: 'no more replicas than decided',
  Memory: 'memory is never overcommitted',
  RequestsEnded: 'no waiting request is dropped',
  WholeAnswers: 'a caller gets one whole answer',
  NotRun: 'a refusal that says not run is true',
  AtMostOnce: 'a request that may not be repeated runs at most once',
  Leaving: 'a leaving instance gets no new work',
  GracefulStop: 'a planned stop cuts no request',
  Configuration: 'configuration never reverts'
} as const

export type PromiseName = typeof PromiseName[keyof typeof PromiseName]

/** One case in which a promise was broken, with the events that prove it. */
export interface Violation {
  readonly promise: PromiseName
  readonly detail: string
  readonly evidence: readonly TimedEvent[]
}

/** Checks one promise against the ordered events of a run. */
export type PromiseCheck = (events: readonly TimedEvent[]) => readonly Violation[]

/** All violations in a run, and the number of cases per promise. A promise with 0 cases was not tested by the run. */
export interface CheckResult {
  readonly violations: readonly Violation[]
  readonly caseCounts: Readonly<Record<PromiseName, number>>
}
