import { startKeyOf } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { ServerStart } from '@figmount/fleet'

/** Longer than any request runs on at a server that leaves or has died. */
const RETENTION_MS = 60_000

/** A server that is known to leave for at least this long ends by itself: it serves on for a second or more after its notice. */
const GRACEFUL_EXIT_MS = 500

/** A server that drains, or is no longer listed. */
interface Departure {
  readonly address: string
  readonly atMs: number
}

/** The servers that one router knows to be leaving, or to have ended of late. */
export interface Departures {
  /** The server drains or is no longer listed; the first notice counts. */
  readonly note: (serverId: string, address: string) => void
  /** An agent tells that these starts are gone; the first word counts. */
  readonly noteGone: (starts: readonly ServerStart[]) => void
  /** The server is listed again, or has started again. */
  readonly forget: (serverId: string) => void
  /** Where a server was that drains or is no longer listed. */
  readonly addressOf: (serverId: string) => string | undefined
  /** The start ended, as a run there shows that broke off then, after it had been known to leave. */
  readonly hasExitedGracefully: (start: ServerStart, brokenMs: number) => boolean
}

/** Makes the departures that one router knows of. */
export const createDepartures = (timers: TimerService): Departures => {
  const departures = new Map<string, Departure>()
  const goneMs = new Map<string, number>()

  // Entries of both stand in the order of their times.
  const trim = (): void => {
    const oldestMs = timers.nowMs() - RETENTION_MS
    for (const [serverId, { atMs }] of departures) {
      if (atMs > oldestMs) break
      departures.delete(serverId)
    }
    for (const [startKey, atMs] of goneMs) {
      if (atMs > oldestMs) break
      goneMs.delete(startKey)
    }
  }

  return {
    note: (serverId, address) => {
      trim()
      if (!departures.has(serverId)) departures.set(serverId, { address, atMs: timers.nowMs() })
    },
    noteGone: starts => {
      trim()
      for (const start of starts) {
        const startKey = startKeyOf(start)
        if (!goneMs.has(startKey)) goneMs.set(startKey, timers.nowMs())
      }
    },
    forget: serverId => { departures.delete(serverId) },
    addressOf: serverId => departures.get(serverId)?.address,
    hasExitedGracefully: (start, brokenMs) => {
      const departure = departures.get(start.serverId)
      if (!departure) return false
      const endedMs = Math.min(brokenMs, goneMs.get(startKeyOf(start)) ?? Infinity)
      return endedMs - departure.atMs >= GRACEFUL_EXIT_MS
    }
  }
}
