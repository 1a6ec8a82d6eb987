import { isEarlierStart, isSameStart } from '@figmount/fleet'

import { KNOWN_LATE_WRITE_MS, mayBeLateWrite } from './createStartOrder.js'
import { isFromBefore, isKnownBefore, isSameLeft, mergeLeft } from './mergeLeft.js'
import { setNewest } from './setNewest.js'

import type { TimerService, Unsubscribe } from '@figmount/base'
import type { ServerEntry, ServerStart } from '@figmount/fleet'
import type { StartOrder } from './createStartOrder.js'
import type { LeftStart } from './types.js'

/** Starts that have left, kept at once: more than there are servers. */
const MAX_LEFT = 10_000

/** Time for which a start that has left is kept at least: servers still serve then, and older heartbeats arrive late. */
const RETENTION_MS = 600_000

/** A start that has been known for less is not forgotten because its record was removed: somebody else may have done that, or late. */
const MIN_RETENTION_MS = 60_000

/** The backend servers that have left, as one router knows from the list, their answers and other routers. */
export interface Leavings {
  /** Returns false if that is known. */
  readonly note: (left: LeftStart) => boolean
  /** The server has said that it leaves. It holds until another start. */
  readonly isLeaving: (start: ServerStart) => boolean
  /** The entry was written before its start, or a later one, left, and carried out later. */
  readonly isFromBefore: (entry: ServerEntry) => boolean
  /** Start times of the starts that are before this one, as its server has left before it. */
  readonly timesBefore: (start: ServerStart) => readonly number[]
  /** Its record was removed: it is forgotten, unless this router has got to know it just now. */
  readonly forget: (serverId: string) => void
  readonly all: () => readonly LeftStart[]
  /** Those that have been known for so long that nobody needs them any more. */
  readonly old: () => readonly LeftStart[]
  /** Calls back after each start that is noted. */
  readonly onNoted: (listener: () => void) => Unsubscribe
}

interface KnownLeft {
  readonly left: LeftStart
  readonly notedMs: number
}

/** Creates the memory of one router. */
export const createLeavings = (timers: TimerService, order: Pick<StartOrder, 'seenMs' | 'earlierTimes' | 'goesOn'>): Leavings => {
  /** By server, in the order in which they left. */
  const known = new Map<string, KnownLeft>()
  const listeners = new Set<() => void>()

  const find = (serverId: string): LeftStart | undefined => known.get(serverId)?.left

  const wasCurrentBefore = (left: LeftStart, start: ServerStart): boolean =>
    left.startedAtUnixMs !== undefined && order.earlierTimes(start).includes(left.startedAtUnixMs)

  const isOfEarlierStart = (entry: ServerEntry, { left, notedMs }: KnownLeft): boolean => {
    const sinceNotedMs = timers.nowMs() - notedMs
    if (isKnownBefore(entry, left)) return sinceNotedMs < KNOWN_LATE_WRITE_MS
    if (!isEarlierStart(entry, left) || wasCurrentBefore(left, entry)) return false
    const sinceSeenMs = timers.nowMs() - (order.seenMs(left) ?? timers.nowMs())
    return mayBeLateWrite(Math.max(sinceNotedMs, sinceSeenMs), order.goesOn(entry))
  }

  return {
    note: reported => {
      const before = find(reported.serverId)
      const left = mergeLeft(before, reported)
      if (isSameLeft(before, left)) return false
      setNewest(known, left.serverId, { left, notedMs: timers.nowMs() }, MAX_LEFT)
      for (const listener of [...listeners]) listener()
      return true
    },
    isLeaving: start => {
      const left = find(start.serverId)
      return left !== undefined && left.lastHeartbeat === undefined && isSameStart(left, start)
    },
    isFromBefore: entry => {
      const found = known.get(entry.serverId)
      return found !== undefined && (isFromBefore(entry, found.left) || isOfEarlierStart(entry, found))
    },
    timesBefore: start => {
      const left = find(start.serverId)
      if (!left) return []
      return isSameStart(left, start) || left.startedAtUnixMs === undefined ? left.earlierTimes : [...left.earlierTimes, left.startedAtUnixMs]
    },
    forget: serverId => {
      const { notedMs = Infinity } = known.get(serverId) ?? {}
      if (timers.nowMs() - notedMs >= MIN_RETENTION_MS) known.delete(serverId)
    },
    all: () => [...known.values()].map(({ left }) => left),
    old: () => {
      const oldestMs = timers.nowMs() - RETENTION_MS
      const found: LeftStart[] = []
      for (const { left, notedMs } of known.values()) {
        if (notedMs > oldestMs) break
        found.push(left)
      }
      return found
    },
    onNoted: listener => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    }
  }
}
