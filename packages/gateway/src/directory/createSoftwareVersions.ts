import type { TimerService } from '@figmount/base'
import type { ServerEntry } from '@figmount/fleet'

/** Time for which a version counts after its last server has gone: callers may still take up streams that it began. */
const RETENTION_MS = 120_000

/** The software versions of services, including those whose servers have gone recently. */
export interface SoftwareVersions {
  /** The server is no longer listed, or has another version now. */
  readonly noteGone: (entry: ServerEntry) => void
  readonly of: (serviceName: string, listed: Iterable<ServerEntry>) => ReadonlySet<string>
}

/** Creates the record of one router. */
export const createSoftwareVersions = (timers: TimerService): SoftwareVersions => {
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
