import { isEarlierStart, isSameStart } from '@figmount/fleet'

import type { ServerEntry, ServerStart } from '@figmount/fleet'
import type { LeftStart } from './types.js'

/** Earlier starts that are kept with one start. */
const MAX_EARLIER = 16

/** The start is known to be before the other one, whatever their clocks say. */
export const isKnownBefore = ({ startedAtUnixMs }: ServerStart, { earlierTimes }: LeftStart): boolean =>
  startedAtUnixMs !== undefined && earlierTimes.includes(startedAtUnixMs)

const isBefore = (one: LeftStart, other: LeftStart): boolean => {
  if (isKnownBefore(one, other)) return true
  return !isKnownBefore(other, one) && isEarlierStart(one, other)
}

/** Start times in the order in which they are kept. */
export const sortTimes = (times: readonly number[]): readonly number[] =>
  [...new Set(times)].sort((one, other) => one - other).slice(-MAX_EARLIER)

/** What two reports on one server say together. Reports on an earlier start count no more than entries of it. */
export const mergeLeft = (known: LeftStart | undefined, reported: LeftStart): LeftStart => {
  if (!known) return reported
  if (!isSameStart(known, reported)) return isBefore(reported, known) ? known : reported
  return {
    serverId: known.serverId,
    startedAtUnixMs: known.startedAtUnixMs ?? reported.startedAtUnixMs,
    lastHeartbeat: known.lastHeartbeat === undefined || reported.lastHeartbeat === undefined ? undefined : Math.max(known.lastHeartbeat, reported.lastHeartbeat),
    earlierTimes: sortTimes([...known.earlierTimes, ...reported.earlierTimes])
  }
}

/** True if the two say the same. */
export const isSameLeft = (one: LeftStart | undefined, other: LeftStart): boolean =>
  one !== undefined && one.startedAtUnixMs === other.startedAtUnixMs && one.lastHeartbeat === other.lastHeartbeat &&
  one.earlierTimes.length === other.earlierTimes.length && one.earlierTimes.every((time, index) => time === other.earlierTimes[index])

/** The entry was written before its start was removed from the list, and carried out later. */
export const isFromBefore = (entry: ServerEntry, left: LeftStart | undefined): boolean =>
  left?.lastHeartbeat !== undefined && isSameStart(entry, left) && entry.heartbeatNumber <= left.lastHeartbeat
