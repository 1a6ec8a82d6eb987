import { startKeyOf } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { ServerStart } from '@figmount/fleet'

/** Longer than any request still runs on a server that is leaving or has died. */
const RETENTION_MS = 60_000

/** A server that was draining or unlisted for this long before its end has exited gracefully: it serves for a second or more after that. */
const GRACEFUL_EXIT_MS = 500

/** A server that is draining or is no longer listed. */
interface Departure {
  readonly address: string
  readonly atMs: number
}

/** The servers that one router has seen leave or exit recently. */
export interface Departures {
  /** The server is draining or no longer listed; only the first call counts. */
  readonly note: (serverId: string, address: string) => void
  /** An agent reports that these starts are gone; only the first report counts. */
  readonly noteGone: (starts: readonly ServerStart[]) => void
  /** The server is listed again, or has restarted. */
  readonly forget: (serverId: string) => void
  /** Last address of a server that is draining or no longer listed. */
  readonly addressOf: (serverId: string) => string | undefined
  /** True if this start of a server, on which a run was interrupted at `brokenMs`, was draining or unlisted for a while before it ended. */
  readonly hasExitedGracefully: (start: ServerStart, brokenMs: number) => boolean
}

/** Creates one router's record of departures. */
export const createDepartures = (timers: TimerService): Departures => {
  const departures = new Map<string, Departure>()
  const goneMs = new Map<string, number>()

  // Both maps are ordered by time.
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
