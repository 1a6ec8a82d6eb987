import { RefusalReason, RunState } from '@figmount/schema'

import type { RefusalNote } from '@figmount/peers'

interface RefusalOptions {
  readonly reason: RefusalReason
  readonly detail: string
  /** What was being done, as `slice.action`. */
  readonly step: string
  readonly peer?: string
  readonly retryAfterMs?: number
}

/** A refusal before anything has run. */
export const notRun = ({ reason, detail, step, peer = '', retryAfterMs = 0 }: RefusalOptions): RefusalNote =>
  ({ runState: RunState.NOT_RUN, reason, detail, step, peer, retryAfterMs })

/** A refusal when it is unknown whether the request has run. */
export const mayHaveRun = (options: RefusalOptions): RefusalNote =>
  ({ ...notRun(options), runState: RunState.MAY_HAVE_RUN })

/**
 * Corrects a refusal that says "not run" for a key that was sent before.
 *
 * Guards against a false "not run": the first send ran at another router or its answer
 * broke off, the resend meets a router that is full or stopping. That router knows only
 * that this send has not run; who decides on the key is the holder of its keys right,
 * whose own word (`decided`) stands.
 */
export const truthful = (note: RefusalNote, resendCount: number, decided = false): RefusalNote => {
  if (note.runState !== RunState.NOT_RUN || resendCount === 0 || decided) return note
  return { ...note, runState: RunState.MAY_HAVE_RUN }
}

/** Lower-case name of a run state, for events and metrics. */
export const runStateName = (state: RunState): string => RunState[state]?.toLowerCase() ?? 'unspecified'

/** Lower-case name of a reason, for events and metrics. */
export const reasonName = (reason: RefusalReason): string => RefusalReason[reason]?.toLowerCase() ?? 'unspecified'
