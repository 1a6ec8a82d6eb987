import { startKeyOf } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { ServerStart } from '@figmount/fleet'

/** Retention of a request that crashed servers: its caller resends it within seconds, or minutes. */
const RETENTION_MS = 120_000

/** Maximum number of stored requests. */
const MAX_REQUESTS = 500

interface Crashes {
  /** Each start of a server counts: a server may crash repeatedly under one id because of the same request. */
  readonly startKeys: ReadonlySet<string>
  readonly lastMs: number
}

/** Requests that were running when their backend server died. */
export interface CrashHistory {
  readonly note: (requestHash: string, start: ServerStart) => void
  /** Number of server starts that died while they ran the request. */
  readonly crashCount: (requestHash: string) => number
}

/** Creates the crash history of one router. */
export const createCrashHistory = (timers: TimerService): CrashHistory => {
  const crashesByHash = new Map<string, Crashes>()

  // Entries are ordered by their latest crash.
  const trim = (): void => {
    const nowMs = timers.nowMs()
    for (const [hash, crashes] of crashesByHash) {
      if (crashesByHash.size <= MAX_REQUESTS && nowMs - crashes.lastMs < RETENTION_MS) return
      crashesByHash.delete(hash)
    }
  }

  return {
    note: (requestHash, start) => {
      trim()
      const known = crashesByHash.get(requestHash)?.startKeys ?? []
      crashesByHash.delete(requestHash)
      crashesByHash.set(requestHash, { startKeys: new Set([...known, startKeyOf(start)]), lastMs: timers.nowMs() })
    },
    crashCount: requestHash => crashesByHash.get(requestHash)?.startKeys.size ?? 0
  }
}
