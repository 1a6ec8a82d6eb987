import { RELIST_GRACE_MS } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'

import type { EventLog, TimerService } from '@figmount/base'

/**
 * Entries that disappeared from the list during an outage of the store or just after it.
 *
 * Guards against losing every server after an outage of the store: entries expire while servers cannot renew them, and reappear within
 * two seconds after it. Until then a missing entry does not show that its server is gone.
 */
export interface MissingEntries {
  readonly noteOutage: () => void
  readonly noteRegained: () => void
  /** For this time missing entries do not show that servers are gone; `source` is logged. */
  readonly noteSettling: (leftMs: number, source: string) => void
  /** Remaining time in which missing entries do not show that servers are gone. */
  readonly settlingMs: () => number
  /** An entry is missing: its server is removed at once, or after an outage if it is not listed again in time. */
  readonly noteMissing: (serverId: string) => void
  readonly noteListed: (serverId: string) => void
  /** Removes the servers that were not listed again in time. */
  readonly settle: () => void
}

/** Creates the tracker of missing entries in one router's list. `remove` is called for each server that is gone. */
export const createMissingEntries = (timers: TimerService, events: EventLog, remove: (serverId: string, reason: string) => void): MissingEntries => {
  const missing = new Set<string>()
  let isStoreDown = false
  let settlesAtMs = -Infinity
  let doubt = ''

  const settlingMs = (): number => isStoreDown ? RELIST_GRACE_MS : Math.max(0, settlesAtMs - timers.nowMs())

  const settle = (): void => {
    if (settlingMs() > 0) return
    for (const serverId of missing) remove(serverId, 'not listed again after an outage of the store')
    missing.clear()
  }

  const noteSettling = (leftMs: number, source: string): void => {
    if (leftMs <= settlingMs()) return
    doubt = source
    settlesAtMs = timers.nowMs() + leftMs
    timers.after(leftMs, settle)
  }

  return {
    noteOutage: () => {
      isStoreDown = true
      doubt = 'the store does not answer'
    },
    noteRegained: () => {
      isStoreDown = false
      noteSettling(RELIST_GRACE_MS, 'the store did not answer')
    },
    noteSettling,
    settlingMs,
    noteMissing: serverId => {
      if (settlingMs() === 0) return remove(serverId, 'no longer listed')
      missing.add(serverId)
      events.emit(GatewayEvent.entryDoubted, { peer: serverId, reason: doubt, waitMs: Math.round(settlingMs()) })
    },
    noteListed: serverId => { missing.delete(serverId) },
    settle
  }
}
