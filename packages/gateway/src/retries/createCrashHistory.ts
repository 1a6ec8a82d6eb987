import { startKeyOf } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { ServerStart } from '@figmount/fleet'

/** How long a request that crashed servers is remembered: its caller sends it again within seconds, or minutes. */
const RETENTION_MS = 120_000

/** Requests remembered at a time. */
const MAX_REQUESTS = 500

interface Crashes {
  /** Each start of a server counts: one may die of the request again and again under one id. */
  readonly startKeys: ReadonlySet<string>
  readonly lastMs: number
}

/** Requests that were running when their backend server died. */
export interface CrashHistory {
  readonly note: (requestHash: string, start: ServerStart) => void
  /** Starts of servers that died under the request. */
  readonly crashCount: (requestHash: string) => number
}

/** Makes the crash book of one router. */
export const createCrashHistory = (timers: TimerService): CrashHistory => {
  const crashesByHash = new Map<string, Crashes>()

  // Entries stand in the order of their newest crash.
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
