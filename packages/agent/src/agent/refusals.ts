import { FaultKind } from '@figmount/base'
import { RefusalReason, RunState } from '@figmount/schema'

import type { Fault, InstanceName } from '@figmount/base'
import type { RefusalNote } from '@figmount/peers'

/** When to come back after a refusal whose cause has no time of its own. */
export const RETRY_AFTER_MS = 1_000

interface NoteOptions {
  readonly reason: RefusalReason
  readonly detail: string
  readonly step: string
  readonly peer: InstanceName
  readonly retryAfterMs?: number
}

const note = (runState: RunState, { reason, detail, step, peer, retryAfterMs }: NoteOptions): RefusalNote =>
  ({ runState, reason, retryAfterMs: Math.max(0, Math.ceil(retryAfterMs ?? RETRY_AFTER_MS)), detail, step, peer })

/** Nothing of the request ran on this agent's backend server. */
export const notRun = (options: NoteOptions): RefusalNote => note(RunState.NOT_RUN, options)

/** The request ran and its answer is lost. */
export const ran = (options: NoteOptions): RefusalNote => note(RunState.RAN, options)

export const mayHaveRun = (options: NoteOptions): RefusalNote => note(RunState.MAY_HAVE_RUN, options)

const REASON_BY_KIND: Partial<Record<FaultKind, RefusalReason>> = {
  [FaultKind.Invalid]: RefusalReason.INVALID,
  [FaultKind.Exhausted]: RefusalReason.OVERLOADED
}

/** The reason that callers are told for a fault of the backend server. */
export const reasonOf = (fault: Fault): RefusalReason => REASON_BY_KIND[fault.kind] ?? RefusalReason.UNAVAILABLE

/** The request brought down the backend servers that ran it. */
export const quarantined = (peer: InstanceName): RefusalNote => notRun({
  reason: RefusalReason.QUARANTINED,
  detail: 'the request brought down the engines that ran it',
  step: 'suspects.judge',
  peer,
  retryAfterMs: 0
})
