import { leastCount, noteCount } from './recentHighest.js'

import type { RecentHighest } from './recentHighest.js'

/** What one router knows of the number of routers. A plain value. */
export interface Membership {
  readonly routers: RecentHighest
  /** Begin of the time for which the others have counted this router; undefined while they may not. */
  readonly countedSinceMs: number | undefined
  /** Time at which this router was last known to be counted. */
  readonly countedMs: number
}

/** Routers that are assumed until a number is heard of. Routers that all start at once hear of fewer at first. */
const MIN_ROUTER_COUNT = 4

/** Time for which the highest number is kept. Routers that are cut off from all others still use their parts, and a cut lasts minutes. */
const HEARD_RETENTION_MS = 600_000

/** Time for which those who count routers remember one that they have lost. */
export const ROUTER_RETENTION_MS = 30_000

/** Time after which a router that nobody counts takes itself for forgotten: well before the others may forget it. */
const FORGOTTEN_AFTER_MS = ROUTER_RETENTION_MS / 2

/** A router that has just started. */
export const newMember: Membership = { routers: leastCount(MIN_ROUTER_COUNT), countedSinceMs: undefined, countedMs: -Infinity }

/** A number of routers was heard of. */
export const noteRouterCount = (member: Membership, count: number, nowMs: number): Membership =>
  ({ ...member, routers: noteCount(member.routers, count, MIN_ROUTER_COUNT, HEARD_RETENTION_MS, nowMs) })

const isForgotten = ({ countedMs }: Membership, nowMs: number): boolean => nowMs - countedMs > FORGOTTEN_AFTER_MS

/** This router is counted now. */
export const noteCounted = (member: Membership, nowMs: number): Membership =>
  ({ ...member, countedSinceMs: isForgotten(member, nowMs) ? nowMs : member.countedSinceMs, countedMs: nowMs })

/** Time for which the others have counted this router; 0 while they may not. */
export const countedForMs = (member: Membership, nowMs: number): number =>
  member.countedSinceMs === undefined || isForgotten(member, nowMs) ? 0 : nowMs - member.countedSinceMs
