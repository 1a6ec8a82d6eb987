import type { ServerStart } from '@figmount/fleet'

/** A start of a backend server that has left: it has said so, or its entry was removed from the list. */
export interface LeftStart extends ServerStart {
  /**
   * The last heartbeat before its entry was removed: a later one shows that the server lives. Undefined if it has said that it leaves, which
   * no entry takes back.
   */
  readonly lastHeartbeat: number | undefined
}
