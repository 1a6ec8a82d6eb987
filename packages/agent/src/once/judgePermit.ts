import { CLOCK_ERROR_MS, ONCE_WINDOW_MS } from '@figmount/records'
import { RefusalReason, RunState } from '@figmount/schema'

import { PERMIT_RETRY_MS } from './constants.js'

import type { PermitVerdict, PermitView } from './types.js'

const refuse = (runState: RunState, reason: RefusalReason, retryAfterMs: number, detail: string): PermitVerdict =>
  ({ kind: 'refuse', refusal: { runState, reason, retryAfterMs: Math.max(0, Math.ceil(retryAfterMs)), detail, step: 'once.permit', peer: '' } })

/** What is true of a key that another holder may have decided on: nothing of a first send can have run. */
const notRunUnlessResent = (view: PermitView): RunState => view.resendCount === 0 ? RunState.NOT_RUN : RunState.MAY_HAVE_RUN

/**
 * Decides on a key that the holder does not know.
 *
 * Guards against a second run of a request whose first run an earlier holder permitted: shows as a
 * resend at a holder that never saw the key. Every key that an earlier holder can have permitted was issued
 * before the tenure's `fromMs`, so only keys issued later are let run.
 */
export const judgePermit = (view: PermitView): PermitVerdict => {
  const { tenure, issuedAtMs, nowUnixMs } = view
  if (issuedAtMs > nowUnixMs + CLOCK_ERROR_MS) {
    // A holder before this one, with a clock that is ahead, may have taken the stamp for a good one.
    return refuse(notRunUnlessResent(view), RefusalReason.INVALID, 0, 'the key is issued in the future')
  }
  if (issuedAtMs < nowUnixMs - ONCE_WINDOW_MS) {
    return refuse(notRunUnlessResent(view), RefusalReason.KEY_EXPIRED, 0, 'the key is too old')
  }
  if (!tenure) return refuse(notRunUnlessResent(view), RefusalReason.UNAVAILABLE, PERMIT_RETRY_MS, 'the keys are decided on elsewhere')
  if (issuedAtMs < tenure.fromMs) {
    return refuse(notRunUnlessResent(view), RefusalReason.UNAVAILABLE, tenure.fromMs - nowUnixMs, 'the key is older than the tenure of its holder')
  }
  if (view.authority === 'none') {
    return refuse(notRunUnlessResent(view), RefusalReason.LOG_UNREACHABLE, PERMIT_RETRY_MS, 'the holder of the keys is not sure of its right')
  }
  if (view.authority === 'outage') {
    // A void needs the list to have dropped the holder: while the list names it there is no successor.
    const runState = view.isListed ? RunState.NOT_RUN : notRunUnlessResent(view)
    return refuse(runState, RefusalReason.LOG_UNREACHABLE, PERMIT_RETRY_MS, 'the log is out of reach')
  }
  if (view.draining) return refuse(RunState.NOT_RUN, RefusalReason.STOPPING, PERMIT_RETRY_MS, 'the holder of the keys is leaving')
  if (view.isFull) return refuse(RunState.NOT_RUN, RefusalReason.OVERLOADED, PERMIT_RETRY_MS, 'too many keys are remembered')
  return { kind: 'grant' }
}
