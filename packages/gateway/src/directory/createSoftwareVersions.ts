import type { TimerService } from '@figmount/base'
import type { ServerEntry } from '@figmount/fleet'

/** Time for which a version counts after its last server has gone: callers may still take up streams that it began. */
const RETENTION_MS = 120_000

/** The software versions of services, including those whose servers have gone recently. */
export interface SoftwareVersions {
  /** The server is no longer listed, or has another version now. */
  readonly noteGone: (entry: ServerEntry) => void
  /** False as long as servers of further versions may have gone before this record began. */
  readonly areKnown: () => boolean
  readonly of: (serviceName: string, listed: Iterable<ServerEntry>) => ReadonlySet<string>
}

/** Creates the record of one router. */
export const createSoftwareVersions = (timers: TimerService): SoftwareVersions => {
  const beganMs = timers.nowMs()
  const gone = new Map<string, { readonly serviceName: string, readonly softwareVersion: string, readonly goneMs: number }>()

  const trim = (): void => {
    const oldestMs = timers.nowMs() - RETENTION_MS
    for (const [key, { goneMs }] of gone) {
      if (goneMs <= oldestMs) gone.delete(key)
    }
  }

  return {
    noteGone: ({ serviceName, softwareVersion }) => {
      gone.set(`${serviceName} ${softwareVersion}`, { serviceName, softwareVersion, goneMs: timers.nowMs() })
    },
    areKnown: () => timers.nowMs() - beganMs >= RETENTION_MS,
    of: (serviceName, listed) => {
      trim()
      const versions = new Set<string>()
      for (const entry of listed) {
        if (entry.serviceName === serviceName) versions.add(entry.softwareVersion)
      }
      for (const old of gone.values()) {
        if (old.serviceName === serviceName) versions.add(old.softwareVersion)
      }
      return versions
    }
  }
}
