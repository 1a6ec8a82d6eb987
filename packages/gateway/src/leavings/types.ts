import type { ServerStart } from '@figmount/fleet'

/** A start of a backend server that has left, or before which others have: it has said so, or its entry was removed from the list. */
export interface LeftStart extends ServerStart {
  /**
   * The last heartbeat before its entry was removed: a later one shows that the server lives. 0 if only starts before it have left. Undefined if
   * it has said that it leaves, which no entry takes back.
   */
  readonly lastHeartbeat: number | undefined
  /** Start times of starts that are known to be before this one, in rising order; the server's clock may have been set back since. */
  readonly earlierTimes: readonly number[]
}
