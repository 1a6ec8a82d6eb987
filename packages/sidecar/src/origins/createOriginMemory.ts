import type { TimerService } from '@figmount/base'
import type { StreamOrigin } from '@figmount/fleet'

/** Time for which callers may take a stream up again: longer than any of them waits for one. */
const RETENTION_MS = 120_000

/** Streams remembered at once, 200 bytes each. */
const MAX_STREAMS = 50_000

/** The software versions at which streams began, as routers have told. */
export interface OriginMemory {
  readonly note: (origins: readonly StreamOrigin[]) => void
  readonly find: (streamId: string, serviceName: string) => string | undefined
  /** Time for which nothing was forgotten, of what callers may still take up. */
  readonly rememberedForMs: () => number
}

/** Creates the memory of one agent. It keeps what it was told last of a stream. */
export const createOriginMemory = (timers: TimerService): OriginMemory => {
  let rememberedSinceMs = timers.nowMs()
  const known = new Map<string, { readonly softwareVersion: string, readonly notedMs: number }>()

  // Ordered by time.
  const trim = (): void => {
    const oldestMs = timers.nowMs() - RETENTION_MS
    for (const [key, { notedMs }] of known) {
      if (known.size <= MAX_STREAMS && notedMs > oldestMs) return
      if (notedMs > oldestMs) rememberedSinceMs = notedMs
      known.delete(key)
    }
  }

  const keyOf = (streamId: string, serviceName: string): string => `${serviceName} ${streamId}`

  return {
    note: origins => {
      for (const { streamId, serviceName, softwareVersion } of origins) {
        const key = keyOf(streamId, serviceName)
        known.delete(key)
        known.set(key, { softwareVersion, notedMs: timers.nowMs() })
      }
      trim()
    },
    find: (streamId, serviceName) => {
      trim()
      return known.get(keyOf(streamId, serviceName))?.softwareVersion
    },
    rememberedForMs: () => Math.floor(timers.nowMs() - rememberedSinceMs)
  }
}
