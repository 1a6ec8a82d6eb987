import { checkPromises, orderEvents, PromiseName } from '@figmount/timeline'

import type { EventRecord } from '@figmount/base'

/** Promises that events decide without any allowance of time, so that a busy machine cannot change the verdict. */
const JUDGED: ReadonlySet<string> = new Set([PromiseName.Replicas, PromiseName.Memory, PromiseName.Configuration])

/** Broken promises that the events of a run show, one line each; every proof is held against them when its site closes. */
export const judgeRun = (events: readonly EventRecord[]): readonly string[] =>
  checkPromises(orderEvents(events)).violations
    .filter(violation => JUDGED.has(violation.promise))
    .map(violation => `${violation.promise}: ${violation.detail}`)
