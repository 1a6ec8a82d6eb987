import { GatewayEvent } from '../events.js'

import type { EventLog, TimerService } from '@figmount/base'

/** The store may have been unavailable: a missing entry may have expired, and be listed again. */
export interface Doubt {
  /** Missing entries show from then on that their servers are gone. */
  readonly untilMs: number
  /** Time until which an entry that is found missing now may be kept at most. */
  readonly keepUntilMs: () => number
  /** What the doubt rests on; it is logged. */
  readonly reason: string
}

/**
 * Entries that disappeared from the list when the store may have been unavailable.
 *
 * Guards against losing every server after an outage of the store: entries expire while servers cannot renew them, and reappear within
 * two seconds after it. Until then a missing entry does not show that its server is gone.
 */
export interface MissingEntries {
  /** Replaces the doubt; undefined if missing entries show that their servers are gone. */
  readonly setDoubt: (doubt: Doubt | undefined) => void
  /** An entry is missing: its server is removed at once, or in case of doubt if it is not listed again in time. */
  readonly noteMissing: (serverId: string) => void
  readonly noteListed: (serverId: string) => void
  /** Number of missing servers that may still get requests. */
  readonly count: () => number
  /** Removes the servers that were not listed again in time. */
  readonly settle: () => void
}

/** Creates the tracker of missing entries in one router's list. `remove` is called for each server that is gone. */
export const createMissingEntries = (timers: TimerService, events: EventLog, remove: (serverId: string, reason: string) => void): MissingEntries => {
  /** Time until which each may be kept at most. */
  const missing = new Map<string, number>()
  let doubt: Doubt | undefined

  const settle = (): void => {
    const nowMs = timers.nowMs()
    for (const [serverId, keepUntilMs] of missing) {
      if (nowMs < Math.min(keepUntilMs, doubt?.untilMs ?? -Infinity)) continue
      missing.delete(serverId)
      remove(serverId, 'not listed again after an outage of the store')
    }
  }

  const settleAt = (atMs: number): void => {
    if (atMs < Infinity) timers.after(Math.max(0, atMs - timers.nowMs()), settle)
  }

  return {
    setDoubt: next => {
      doubt = next
      settle()
      if (missing.size > 0) settleAt(next?.untilMs ?? -Infinity)
    },
    noteMissing: serverId => {
      const nowMs = timers.nowMs()
      const keepUntilMs = doubt?.keepUntilMs() ?? -Infinity
      const untilMs = Math.min(doubt?.untilMs ?? -Infinity, keepUntilMs)
      if (untilMs <= nowMs) {
        missing.delete(serverId)
        return remove(serverId, 'no longer listed')
      }
      if (missing.has(serverId)) return
      missing.set(serverId, keepUntilMs)
      settleAt(untilMs)
      events.emit(GatewayEvent.entryDoubted, { peer: serverId, reason: doubt?.reason ?? '', ...(untilMs < Infinity ? { waitMs: Math.round(untilMs - nowMs) } : {}) })
    },
    noteListed: serverId => { missing.delete(serverId) },
    count: () => missing.size,
    settle
  }
}
