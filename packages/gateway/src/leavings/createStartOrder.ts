import { isEarlierStart, isSameStart } from '@figmount/fleet'

import { setNewest } from './setNewest.js'

import type { TimerService } from '@figmount/base'
import type { ServerEntry, ServerStart } from '@figmount/fleet'

/** Servers whose starts are kept at once: more than there are. */
const MAX_SERVERS = 10_000

/** Starts kept of one server. */
const MAX_EARLIER = 8

/**
 * Time after a start was first seen in which entries of starts before it may still arrive. A write that the store carries out late is done 1 to
 * 6 s after it was sent, and the starts before had ended by then.
 */
const LATE_WRITE_MS = 10_000

/** The same for starts that are known to be before it: none of them is shut out for longer if it lives after all. */
export const KNOWN_LATE_WRITE_MS = 60_000

/**
 * Whether an entry may be a late write, if the server's clock alone says that its start is before another one, which has been known for
 * `sinceMs`. `goesOn`: its start has written more than once.
 */
export const mayBeLateWrite = (sinceMs: number, goesOn: boolean): boolean => sinceMs < (goesOn ? LATE_WRITE_MS : KNOWN_LATE_WRITE_MS)

/** The starts of each server in the order in which one router has seen them, whatever their clocks say. */
export interface StartOrder {
  /** The server's current start is this one. `earlierTimes`: start times of earlier ones that other routers have seen. */
  readonly note: (start: ServerStart, earlierTimes: readonly number[]) => void
  /** Other routers have seen that these starts are before this one. */
  readonly learn: (start: ServerStart, earlierTimes: readonly number[]) => void
  /** An entry was read, of whichever start. */
  readonly noteEntry: (entry: ServerEntry) => void
  /** Two heartbeats of the start have been read last, the later one with the higher number. */
  readonly goesOn: (start: ServerStart) => boolean
  /** Start times of the starts before this one; none if it is not the current one. */
  readonly earlierTimes: (start: ServerStart) => readonly number[]
  /** When a start was first seen; undefined if it is not the current one. */
  readonly seenMs: (start: ServerStart) => number | undefined
  /** The entry's start is before the current one, or may be: its clock says so, and late writes may still arrive. */
  readonly isBefore: (entry: ServerEntry) => boolean
  /** The start was seen before the current one, and does not go on for longer than late writes arrive. */
  readonly isKnownBefore: (start: ServerStart) => boolean
}

interface SeenStart {
  readonly start: ServerStart
  readonly seenMs: number
  readonly earlier: readonly number[]
}

interface SeenEntry {
  readonly start: ServerStart
  readonly firstHeartbeat: number
  readonly goesOn: boolean
}

/**
 * Creates the order of one router.
 *
 * Guards against a server that is never used, or whose leaving is not seen, as its clock was set back between two starts: start times alone
 * tell the order only of what arrives late once, not of a server that goes on writing.
 */
export const createStartOrder = (timers: TimerService): StartOrder => {
  const current = new Map<string, SeenStart>()
  const newestEntries = new Map<string, SeenEntry>()

  const timesUpTo = ({ start, earlier }: SeenStart): readonly number[] =>
    start.startedAtUnixMs === undefined ? earlier : [...earlier, start.startedAtUnixMs].slice(-MAX_EARLIER)

  const findCurrent = (start: ServerStart): SeenStart | undefined => {
    const seen = current.get(start.serverId)
    return seen && isSameStart(seen.start, start) ? seen : undefined
  }

  const goesOn = (start: ServerStart): boolean => {
    const seen = newestEntries.get(start.serverId)
    return seen !== undefined && isSameStart(seen.start, start) && seen.goesOn
  }

  // A single entry never makes another start the current one: it may stand in an older copy of the store.
  const isLate = (start: ServerStart, { seenMs }: SeenStart, maxLateMs: number): boolean =>
    timers.nowMs() - seenMs < maxLateMs || !goesOn(start)

  const isKnownBefore = (start: ServerStart): boolean => {
    const seen = current.get(start.serverId)
    if (!seen || start.startedAtUnixMs === undefined || !seen.earlier.includes(start.startedAtUnixMs)) return false
    return isLate(start, seen, KNOWN_LATE_WRITE_MS)
  }

  const note = ({ serverId, startedAtUnixMs }: ServerStart, earlierTimes: readonly number[]): void => {
    const start = { serverId, startedAtUnixMs }
    if (findCurrent(start)) return
    const before = current.get(serverId)
    const earlier = new Set([...earlierTimes, ...(before ? timesUpTo(before) : [])])
    setNewest(current, serverId, { start, seenMs: timers.nowMs(), earlier: [...earlier].filter(time => time !== startedAtUnixMs) }, MAX_SERVERS)
  }

  return {
    note,
    learn: (start, earlierTimes) => {
      const { startedAtUnixMs } = current.get(start.serverId)?.start ?? {}
      if (startedAtUnixMs !== undefined && earlierTimes.includes(startedAtUnixMs)) note(start, earlierTimes)
    },
    noteEntry: entry => {
      const { serverId, startedAtUnixMs, heartbeatNumber } = entry
      const before = newestEntries.get(serverId)
      const isSame = before !== undefined && isSameStart(before.start, entry)
      const firstHeartbeat = isSame ? before.firstHeartbeat : heartbeatNumber
      setNewest(newestEntries, serverId, { start: { serverId, startedAtUnixMs }, firstHeartbeat, goesOn: heartbeatNumber > firstHeartbeat }, MAX_SERVERS)
    },
    goesOn,
    earlierTimes: start => findCurrent(start)?.earlier ?? [],
    seenMs: start => findCurrent(start)?.seenMs,
    isBefore: entry => {
      const seen = current.get(entry.serverId)
      if (!seen || isSameStart(seen.start, entry)) return false
      return isKnownBefore(entry) || (isEarlierStart(entry, seen.start) && isLate(entry, seen, LATE_WRITE_MS))
    },
    isKnownBefore
  }
}
