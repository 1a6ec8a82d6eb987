import { AUTHORITY_MS } from '@figmount/records'

import { OUTAGE_PROOF_MS } from './constants.js'

/** What an agent knows of its standing when it wants to act on a right. Times are monotonic ms. */
export interface AuthorityView {
  readonly nowMs: number
  /** Send time of the last read that reached the head of the log. */
  readonly confirmedAtMs: number
  /** Since when the process has run without a pause. */
  readonly awakeSinceMs: number
  /** Whether the instance list, when it could be read, named this instance. */
  readonly listed: 'present' | 'missing' | 'unknown'
}

/** `fresh`: all rights hold. `outage`: replica rights hold, keys do not. `none`: nothing may be done. */
export type Authority = 'fresh' | 'outage' | 'none'

/**
 * Judges whether the agent may act on its rights.
 *
 * Guards against a holder that was paused or cut off while its right went to another: it would load a
 * replica too many. Its last confirmed read is then older than AUTHORITY_MS. Within that time nobody
 * else can have been granted the right, because a void is followed by a longer wait of log time. While the
 * log is out of reach nobody can append a void, so a replica's holder goes on; the outage counts as
 * proved only after the process has run long enough for a read sent after a pause to confirm or fail.
 */
export const judgeAuthority = (view: AuthorityView): Authority => {
  if (view.nowMs - view.confirmedAtMs < AUTHORITY_MS) return 'fresh'
  if (view.listed === 'missing') return 'none'
  return view.nowMs - view.awakeSinceMs >= OUTAGE_PROOF_MS ? 'outage' : 'none'
}
