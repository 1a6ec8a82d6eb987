import { MAX_CLOCK_ERROR_MS, MAX_KEY_AGE_MS } from '@figmount/records'
import { RefusalReason, RunState } from '@figmount/schema'

import { PERMIT_RETRY_MS } from './constants.js'

import type { PermitVerdict, PermitView } from './types.js'

const refuse = (runState: RunState, reason: RefusalReason, retryAfterMs: number, detail: string): PermitVerdict =>
  ({ kind: 'refuse', refusal: { runState, reason, retryAfterMs: Math.max(0, Math.ceil(retryAfterMs)), detail, step: 'once.permit', peer: '' } })

/** Run state of a key that another holder may have permitted: a first send cannot have run yet. */
const notRunUnlessResent = (view: PermitView): RunState => view.resendCount === 0 ? RunState.NOT_RUN : RunState.MAY_HAVE_RUN

/**
 * Decides on a key that is not in the holder's ledger.
 *
 * An earlier holder may have permitted a run of the request; a second run would follow if this holder granted its resend.
 * Every key that an earlier holder can have permitted was issued before the tenure's `fromMs`, so only keys issued
 * later are granted.
 */
export const judgePermit = (view: PermitView): PermitVerdict => {
  const { tenure, issuedAtMs, nowUnixMs } = view
  if (issuedAtMs > nowUnixMs + MAX_CLOCK_ERROR_MS) {
    // An earlier holder whose clock is ahead may have accepted this issue time.
    return refuse(notRunUnlessResent(view), RefusalReason.INVALID, 0, 'the key is issued in the future')
  }
  if (issuedAtMs < nowUnixMs - MAX_KEY_AGE_MS) {
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
    // Rights are voided only after the list has dropped their holder. While the list still contains this holder, no
    // successor can have been granted the right.
    const runState = view.isListed ? RunState.NOT_RUN : notRunUnlessResent(view)
    return refuse(runState, RefusalReason.LOG_UNREACHABLE, PERMIT_RETRY_MS, 'the log is out of reach')
  }
  if (view.draining) return refuse(RunState.NOT_RUN, RefusalReason.STOPPING, PERMIT_RETRY_MS, 'the holder of the keys is leaving')
  if (view.isFull) return refuse(RunState.NOT_RUN, RefusalReason.OVERLOADED, PERMIT_RETRY_MS, 'too many keys are remembered')
  return { kind: 'grant' }
}
