import { isEarlierStart, isSameStart } from '@figmount/fleet'

import type { ServerEntry } from '@figmount/fleet'
import type { LeftStart } from './types.js'

/** What two reports on one server say together. Reports on an earlier start count no more than entries of it. */
export const mergeLeft = (known: LeftStart | undefined, reported: LeftStart): LeftStart => {
  if (!known) return reported
  if (!isSameStart(known, reported)) return isEarlierStart(reported, known) ? known : reported
  return {
    serverId: known.serverId,
    startedAtUnixMs: known.startedAtUnixMs ?? reported.startedAtUnixMs,
    lastHeartbeat: known.lastHeartbeat === undefined || reported.lastHeartbeat === undefined ? undefined : Math.max(known.lastHeartbeat, reported.lastHeartbeat)
  }
}

/** True if the two say the same. */
export const isSameLeft = (one: LeftStart | undefined, other: LeftStart): boolean =>
  one !== undefined && one.startedAtUnixMs === other.startedAtUnixMs && one.lastHeartbeat === other.lastHeartbeat

/** The entry was written before its start was removed from the list, and carried out later. */
export const isFromBefore = (entry: ServerEntry, left: LeftStart | undefined): boolean =>
  left?.lastHeartbeat !== undefined && isSameStart(entry, left) && entry.heartbeatNumber <= left.lastHeartbeat
