import { startKeyOf } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { ServerStart } from '@figmount/fleet'

/** How long a request that crashed servers is remembered: its caller sends it again within seconds, or minutes. */
const KEEP_MS = 120_000

/** Requests remembered at a time. */
const MAX_REQUESTS = 500

interface Crashes {
  /** Each start of a server counts: one may die of the request again and again under one id. */
  readonly startKeys: ReadonlySet<string>
  readonly lastMs: number
}

/** Requests that were running when their backend server died. */
export interface CrashBook {
  readonly note: (requestHash: string, start: ServerStart) => void
  /** Starts of servers that died under the request. */
  readonly crashCount: (requestHash: string) => number
}

/** Makes the crash book of one router. */
export const createCrashBook = (timers: TimerService): CrashBook => {
  const book = new Map<string, Crashes>()

  // Entries stand in the order of their newest crash.
  const trim = (): void => {
    const nowMs = timers.nowMs()
    for (const [hash, crashes] of book) {
      if (book.size <= MAX_REQUESTS && nowMs - crashes.lastMs < KEEP_MS) return
      book.delete(hash)
    }
  }

  return {
    note: (requestHash, start) => {
      trim()
      const known = book.get(requestHash)?.startKeys ?? []
      book.delete(requestHash)
      book.set(requestHash, { startKeys: new Set([...known, startKeyOf(start)]), lastMs: timers.nowMs() })
    },
    crashCount: requestHash => book.get(requestHash)?.startKeys.size ?? 0
  }
}
