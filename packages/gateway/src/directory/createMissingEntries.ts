import { REAPPEAR_MS } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'

/**
 * Entries that went missing while the store was away, or just after.
 *
 * Guards against the loss of every server after an outage of the store: entries lapse while servers cannot write there, and
 * come back within two seconds of its return. Until then a missing entry proves nothing.
 */
export interface MissingEntries {
  readonly noteOutage: () => void
  readonly noteRegained: () => void
  /** Another router has seen an outage: its missing entries prove nothing for this time. */
  readonly noteSettling: (leftMs: number) => void
  /** Time for which a missing entry proves nothing yet. */
  readonly settlingMs: () => number
  /** An entry is missing: it is removed at once, or when it is not listed again in time. */
  readonly noteMissing: (serverId: string) => void
  readonly noteListed: (serverId: string) => void
  /** Removes what was not listed again in time. */
  readonly settle: () => void
}

/** Makes the lapses of one router's list. */
export const createMissingEntries = (timers: TimerService, remove: (serverId: string, reason: string) => void): MissingEntries => {
  const missing = new Set<string>()
  let isStoreDown = false
  let settlesAtMs = -Infinity

  const settlingMs = (): number => isStoreDown ? REAPPEAR_MS : Math.max(0, settlesAtMs - timers.nowMs())

  const settle = (): void => {
    if (settlingMs() > 0) return
    for (const serverId of missing) remove(serverId, 'not listed again after an outage of the store')
    missing.clear()
  }

  const noteSettling = (leftMs: number): void => {
    if (leftMs <= settlingMs()) return
    settlesAtMs = timers.nowMs() + leftMs
    timers.after(leftMs, settle)
  }

  return {
    noteOutage: () => { isStoreDown = true },
    noteRegained: () => {
      isStoreDown = false
      noteSettling(REAPPEAR_MS)
    },
    noteSettling,
    settlingMs,
    noteMissing: serverId => {
      if (settlingMs() > 0) missing.add(serverId)
      else remove(serverId, 'no longer listed')
    },
    noteListed: serverId => { missing.delete(serverId) },
    settle
  }
}
