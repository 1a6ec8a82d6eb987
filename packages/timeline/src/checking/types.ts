import type { TimedEvent } from '../ordering/orderEvents.js'

/** The promises that a checker can judge from events. */
export const PromiseName = {
  Replicas: 'no more replicas than decided',
  Memory: 'memory is never overcommitted',
  Ended: 'no waiting request is dropped',
  Answers: 'a caller gets one whole answer',
  NotRun: 'a refusal that says not run is true',
  Once: 'a request that may not be repeated runs at most once',
  Leaving: 'a leaving instance gets no new work',
  Graceful: 'a planned stop cuts no request',
  Configuration: 'configuration never reverts'
} as const

export type PromiseName = typeof PromiseName[keyof typeof PromiseName]

/** A broken promise, with the events that show it. */
export interface Violation {
  readonly promise: PromiseName
  readonly detail: string
  readonly evidence: readonly TimedEvent[]
}

/** Judges one promise from the ordered events of a run. */
export type PromiseCheck = (events: readonly TimedEvent[]) => readonly Violation[]

/** What a checker found, and how much it had to judge: a promise without cases was not tested by the run. */
export interface Verdict {
  readonly violations: readonly Violation[]
  readonly caseCounts: Readonly<Record<PromiseName, number>>
}
