import { checkAnswers } from './checkAnswers.js'
import { checkConfiguration } from './checkConfiguration.js'
import { checkLeaving } from './checkLeaving.js'
import { checkMemory } from './checkMemory.js'
import { checkReplicas } from './checkReplicas.js'
import { checkRequestsEnded, checkGracefulStop } from './checkRequests.js'
import { checkNotRun, checkAtMostOnce } from './checkRuns.js'
import { PromiseName } from './types.js'

import type { EventRecord } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, CheckResult } from './types.js'

interface CheckedPromise {
  readonly check: PromiseCheck
  /** Whether the check covers this event; these events are counted as cases of the promise. */
  readonly isCase: (event: EventRecord) => boolean
}

const CHECKED_PROMISES: Readonly<Record<PromiseName, CheckedPromise>> = {
  [PromiseName.Replicas]: { check: checkReplicas, isCase: event => event.name === 'loadStarted' },
  [PromiseName.Memory]: { check: checkMemory, isCase: event => event.memoryCapacityMb !== undefined },
  [PromiseName.RequestsEnded]: { check: checkRequestsEnded, isCase: event => event.name === 'requestReceived' },
  [PromiseName.WholeAnswers]: { check: checkAnswers, isCase: event => event.name === 'answerWhole' },
  [PromiseName.NotRun]: { check: checkNotRun, isCase: event => event.name === 'requestRefused' && event.runState === 'not_run' },
  [PromiseName.AtMostOnce]: { check: checkAtMostOnce, isCase: event => event.name === 'engineRunStarted' && event.repeatable === false },
  [PromiseName.Leaving]: { check: checkLeaving, isCase: event => event.name === 'drainStarted' },
  [PromiseName.GracefulStop]: { check: checkGracefulStop, isCase: event => event.name === 'processStopped' && event.role === 'router' },
  [PromiseName.Configuration]: { check: checkConfiguration, isCase: event => event.name === 'configInForce' }
}

/** Checks all promises against the ordered events of one run. */
export const checkPromises = (events: readonly TimedEvent[]): CheckResult => {
  const promises = Object.entries(CHECKED_PROMISES)
  const caseCounts = Object.fromEntries(promises.map(([name, { isCase }]) =>
    [name, events.filter(({ event }) => isCase(event)).length])) as CheckResult['caseCounts']
  return { violations: promises.flatMap(([, { check }]) => check(events)), caseCounts }
}
