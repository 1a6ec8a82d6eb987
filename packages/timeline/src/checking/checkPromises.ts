import { checkAnswers } from './checkAnswers.js'
import { checkConfiguration } from './checkConfiguration.js'
import { checkLeaving } from './checkLeaving.js'
import { checkMemory } from './checkMemory.js'
import { checkReplicas } from './checkReplicas.js'
import { checkEnded, checkGraceful } from './checkRequests.js'
import { checkNotRun, checkOnce } from './checkRuns.js'
import { PromiseName } from './types.js'

import type { EventRecord } from '@figmount/base'
import type { TimedEvent } from '../ordering/orderEvents.js'
import type { PromiseCheck, Verdict } from './types.js'

interface JudgedPromise {
  readonly check: PromiseCheck
  /** Whether an event is a case that the check has judged. */
  readonly isCase: (event: EventRecord) => boolean
}

const JUDGED: Readonly<Record<PromiseName, JudgedPromise>> = {
  [PromiseName.Replicas]: { check: checkReplicas, isCase: event => event.name === 'loadStarted' },
  [PromiseName.Memory]: { check: checkMemory, isCase: event => event.memoryCapacityMb !== undefined },
  [PromiseName.Ended]: { check: checkEnded, isCase: event => event.name === 'requestReceived' },
  [PromiseName.Answers]: { check: checkAnswers, isCase: event => event.name === 'answerWhole' },
  [PromiseName.NotRun]: { check: checkNotRun, isCase: event => event.name === 'requestRefused' && event.runState === 'not_run' },
  [PromiseName.Once]: { check: checkOnce, isCase: event => event.name === 'engineRunStarted' && event.repeatable === false },
  [PromiseName.Leaving]: { check: checkLeaving, isCase: event => event.name === 'drainStarted' },
  [PromiseName.Graceful]: { check: checkGraceful, isCase: event => event.name === 'processStopped' && event.role === 'router' },
  [PromiseName.Configuration]: { check: checkConfiguration, isCase: event => event.name === 'configInForce' }
}

/** Judges all promises from the ordered events of one run. */
export const checkPromises = (events: readonly TimedEvent[]): Verdict => {
  const judged = Object.entries(JUDGED)
  const caseCounts = Object.fromEntries(judged.map(([name, { isCase }]) =>
    [name, events.filter(({ event }) => isCase(event)).length])) as Verdict['caseCounts']
  return { violations: judged.flatMap(([, { check }]) => check(events)), caseCounts }
}
