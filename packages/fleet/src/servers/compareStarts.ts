import type { ServerStart } from './types.js'

/** Nothing speaks against the two being one start: where a server does not tell its time, the id alone decides. */
export const isSameStart = (a: ServerStart, b: ServerStart): boolean => {
  if (a.serverId !== b.serverId) return false
  return a.startedAtUnixMs === undefined || b.startedAtUnixMs === undefined || a.startedAtUnixMs === b.startedAtUnixMs
}

/** The first is certainly a start of the same server before the second. */
export const isEarlierStart = (a: ServerStart, b: ServerStart): boolean => {
  if (a.serverId !== b.serverId || a.startedAtUnixMs === undefined || b.startedAtUnixMs === undefined) return false
  return a.startedAtUnixMs < b.startedAtUnixMs
}

/** A text for maps that each start has for itself. */
export const startKeyOf = ({ serverId, startedAtUnixMs }: ServerStart): string => `${serverId}@${startedAtUnixMs ?? ''}`
