import type { ServerStart } from './types.js'

/** True unless the two are certainly different starts: when a server does not report its start time, only the ids are compared. */
export const isSameStart = (a: ServerStart, b: ServerStart): boolean => {
  if (a.serverId !== b.serverId) return false
  return a.startedAtUnixMs === undefined || b.startedAtUnixMs === undefined || a.startedAtUnixMs === b.startedAtUnixMs
}

/** True when the first is certainly an earlier start of the same server than the second. */
export const isEarlierStart = (a: ServerStart, b: ServerStart): boolean => {
  if (a.serverId !== b.serverId || a.startedAtUnixMs === undefined || b.startedAtUnixMs === undefined) return false
  return a.startedAtUnixMs < b.startedAtUnixMs
}

/** A map key that is unique to each start. */
export const startKeyOf = ({ serverId, startedAtUnixMs }: ServerStart): string => `${serverId}@${startedAtUnixMs ?? ''}`
