import { AUTHORITY_MS } from '@figmount/records'

import { OUTAGE_CONFIRM_MS } from './constants.js'

/** Inputs for deciding whether an agent may act on its rights. Times are monotonic ms. */
export interface AuthorityView {
  readonly nowMs: number
  /** Send time of the last read that reached the head of the log. */
  readonly confirmedAtMs: number
  /** Since when the process has been running without a pause. */
  readonly runningSinceMs: number
  /** Whether the instance list contains this instance; `unknown` if no recent read succeeded. */
  readonly listed: 'present' | 'missing' | 'unknown'
}

/** `fresh`: all rights hold. `outage`: replica rights hold, `keys` rights do not. `none`: no right may be used. */
export type Authority = 'fresh' | 'outage' | 'none'

/**
 * Decides whether the agent may act on its rights.
 *
 * Guards against one replica too many, loaded by a holder that was paused or partitioned while its right was granted to
 * another agent. Until AUTHORITY_MS after the last confirmed read no other agent can have been granted the right, because
 * more log time than that (VOID_GRANT_DELAY_MS) must pass between a void and the next grant. While the log is unreachable
 * no process can append a void, so the holder of a replica right may continue. The outage counts as confirmed only after
 * the process has run long enough for a read sent after a pause to succeed or fail.
 */
export const judgeAuthority = (view: AuthorityView): Authority => {
  if (view.nowMs - view.confirmedAtMs < AUTHORITY_MS) return 'fresh'
  if (view.listed === 'missing') return 'none'
  return view.nowMs - view.runningSinceMs >= OUTAGE_CONFIRM_MS ? 'outage' : 'none'
}
