import { checkPromises, orderEvents, PromiseName } from '@figmount/timeline'

import type { EventRecord } from '@figmount/base'

/** Guarantees that can be checked from events without a time tolerance, so that a busy machine cannot change the result. */
const CHECKED_PROMISES: ReadonlySet<string> = new Set([PromiseName.Replicas, PromiseName.Memory, PromiseName.Configuration])

/** Lists the violated guarantees that the events of a run show, one line each; every site checks this when it closes. */
export const judgeRun = (events: readonly EventRecord[]): readonly string[] =>
  checkPromises(orderEvents(events)).violations
    .filter(violation => CHECKED_PROMISES.has(violation.promise))
    .map(violation => `${violation.promise}: ${violation.detail}`)
