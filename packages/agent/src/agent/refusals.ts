import { FaultKind } from '@figmount/base'
import { RefusalReason, RunState } from '@figmount/schema'

import type { Fault, InstanceName } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'

/** Retry-after of a refusal whose cause gives no time of its own. */
export const RETRY_AFTER_MS = 1_000

interface RefusalOptions {
  readonly reason: RefusalReason
  readonly detail: string
  readonly step: string
  readonly peer: InstanceName
  readonly retryAfterMs?: number
}

const makeRefusal = (runState: RunState, { reason, detail, step, peer, retryAfterMs }: RefusalOptions): RefusalNote =>
  ({ runState, reason, retryAfterMs: Math.max(0, Math.ceil(retryAfterMs ?? RETRY_AFTER_MS)), detail, step, peer })

/** Nothing of the request ran on this agent's backend server. */
export const notRun = (options: RefusalOptions): RefusalNote => makeRefusal(RunState.NOT_RUN, options)

/** The request ran and its answer was lost. */
export const ran = (options: RefusalOptions): RefusalNote => makeRefusal(RunState.RAN, options)

/** Whether the request ran is unknown. */
export const mayHaveRun = (options: RefusalOptions): RefusalNote => makeRefusal(RunState.MAY_HAVE_RUN, options)

const REASON_BY_KIND: Partial<Record<FaultKind, RefusalReason>> = {
  [FaultKind.Invalid]: RefusalReason.INVALID,
  [FaultKind.Exhausted]: RefusalReason.OVERLOADED
}

/** Maps a fault of the backend server to the refusal reason that callers get. */
export const reasonOf = (fault: Fault): RefusalReason => REASON_BY_KIND[fault.kind] ?? RefusalReason.UNAVAILABLE

/** Refuses a request that crashed the backend servers that ran it. */
export const quarantined = (peer: InstanceName): RefusalNote => notRun({
  reason: RefusalReason.QUARANTINED,
  detail: 'the request brought down the engines that ran it',
  step: 'suspects.judge',
  peer,
  retryAfterMs: 0
})
