import { RETENTION_MS } from '../origins/constants.js'

import type { TimerService } from '@figmount/base'
import type { ServerEntry } from '@figmount/fleet'
import type { RecordedVersions } from '../origins/versionRecords.js'

/** Routers see a version come at different times, and their times of day differ. */
const ARRIVAL_SLACK_MS = 3_000

/** A version that served alone until others came, a short while ago. */
export interface LoneVersion {
  readonly softwareVersion: string
  /** Time since which the others may have begun streams, at most. */
  readonly othersForMs: number
}

/** The software versions of services, including those whose servers have gone recently. */
export interface SoftwareVersions {
  /** The server is no longer listed, or has another version now. */
  readonly noteGone: (entry: ServerEntry) => void
  /** Takes what routers had recorded when this one started. */
  readonly takeRecorded: (recorded: readonly RecordedVersions[]) => void
  /** False before that: servers of further versions may have gone just before. */
  readonly areKnown: () => boolean
  readonly of: (serviceName: string, listed: Iterable<ServerEntry>) => ReadonlySet<string>
  /** The version that served alone before others came; undefined if there were several all the time, or if it is too long ago to matter. */
  readonly loneBefore: (serviceName: string) => LoneVersion | undefined
}

/** Creates the record of one router. A version counts for `RETENTION_MS` after its last server has gone, as callers may take up its streams. */
export const createSoftwareVersions = (timers: TimerService): SoftwareVersions => {
  const gone = new Map<string, { readonly serviceName: string, readonly softwareVersion: string, readonly goneMs: number }>()
  /** By service, the version that serves alone now. */
  const only = new Map<string, string>()
  /** By service, the version that served alone before others came. */
  const lone = new Map<string, { readonly softwareVersion: string, readonly untilMs: number }>()
  let areRecordsTaken = false

  const trim = (): void => {
    const oldestMs = timers.nowMs() - RETENTION_MS
    for (const [key, { goneMs }] of gone) {
      if (goneMs <= oldestMs) gone.delete(key)
    }
  }

  const noteGone = (serviceName: string, softwareVersion: string): void => {
    gone.set(`${serviceName} ${softwareVersion}`, { serviceName, softwareVersion, goneMs: timers.nowMs() })
  }

  /** Notices when a second version comes. */
  const compare = (serviceName: string, versions: ReadonlySet<string>): void => {
    const [first] = versions
    if (versions.size === 1 && first !== undefined) {
      only.set(serviceName, first)
      return
    }
    const softwareVersion = only.get(serviceName)
    if (versions.size === 0 || softwareVersion === undefined) return
    only.delete(serviceName)
    lone.set(serviceName, { softwareVersion, untilMs: timers.nowMs() })
  }

  return {
    noteGone: entry => { noteGone(entry.serviceName, entry.softwareVersion) },
    takeRecorded: recorded => {
      areRecordsTaken = true
      for (const { serviceName, softwareVersions, lone: recordedLone } of recorded) {
        for (const softwareVersion of softwareVersions) noteGone(serviceName, softwareVersion)
        // What this router lists by now came while nobody else could tell.
        lone.delete(serviceName)
        only.delete(serviceName)
        compare(serviceName, new Set(softwareVersions))
        if (!recordedLone) continue
        const ageMs = Math.max(0, timers.unixMs() - recordedLone.untilUnixMs)
        lone.set(serviceName, { softwareVersion: recordedLone.softwareVersion, untilMs: timers.nowMs() - ageMs })
      }
    },
    areKnown: () => areRecordsTaken,
    of: (serviceName, listed) => {
      trim()
      const versions = new Set<string>()
      for (const entry of listed) {
        if (entry.serviceName === serviceName) versions.add(entry.softwareVersion)
      }
      for (const old of gone.values()) {
        if (old.serviceName === serviceName) versions.add(old.softwareVersion)
      }
      compare(serviceName, versions)
      return versions
    },
    loneBefore: serviceName => {
      const known = lone.get(serviceName)
      if (!known) return undefined
      const ageMs = timers.nowMs() - known.untilMs
      return ageMs < RETENTION_MS ? { softwareVersion: known.softwareVersion, othersForMs: ageMs + ARRIVAL_SLACK_MS } : undefined
    }
  }
}
