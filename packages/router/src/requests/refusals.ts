import { RefusalReason, RunState } from '@figmount/schema'

import type { RefusalNote } from '@figmount/peers'

interface RefusalOptions {
  readonly reason: RefusalReason
  readonly detail: string
  /** Step that failed, as `slice.action`. */
  readonly step: string
  readonly peer?: string
  readonly retryAfterMs?: number
}

/** Creates a refusal of a request that has not run. */
export const notRun = ({ reason, detail, step, peer = '', retryAfterMs = 0 }: RefusalOptions): RefusalNote =>
  ({ runState: RunState.NOT_RUN, reason, detail, step, peer, retryAfterMs })

/** Creates a refusal of a request that may have run. */
export const mayHaveRun = (options: RefusalOptions): RefusalNote =>
  ({ ...notRun(options), runState: RunState.MAY_HAVE_RUN })

/**
 * Changes "not run" to "may have run" in a refusal of a resent request, unless the holder of the
 * keys right made the decision (`isDecided`). The first send may have run through another router, or
 * its answer may have broken off; a full or stopping router that receives the resend can only tell
 * that the resend itself has not run.
 */
export const correctRunState = (note: RefusalNote, resendCount: number, isDecided = false): RefusalNote => {
  if (note.runState !== RunState.NOT_RUN || resendCount === 0 || isDecided) return note
  return { ...note, runState: RunState.MAY_HAVE_RUN }
}

/** Lower-case name of a run state, as used in events and metrics. */
export const runStateName = (state: RunState): string => RunState[state]?.toLowerCase() ?? 'unspecified'

/** Lower-case name of a refusal reason, as used in events and metrics. */
export const reasonName = (reason: RefusalReason): string => RefusalReason[reason]?.toLowerCase() ?? 'unspecified'
