import { runInBackground, runSafely, runTaskSafely, sleep } from '@figmount/base'
import { spreadWriteMs } from '@figmount/fleet'

import { decodeVersions, encodeVersions, sayTheSame } from './versionRecords.js'

import type { EventLog, TimerService, Unsubscribe } from '@figmount/base'
import type { WritableFeed } from '@figmount/fleet'
import type { RecordedVersions } from './versionRecords.js'

/** Time limit of a call to the store. */
const CALL_TIMEOUT_MS = 1_500

/** Time until a call that failed is repeated. */
const RETRY_MS = 500

/** How often a router looks whether its versions differ from the recorded ones. */
const REVIEW_MS = 250

/** Longest time over which routers spread their writes. */
const MAX_SPREAD_MS = 1_000

interface Options {
  readonly feed: WritableFeed
  readonly timers: TimerService
  readonly events: EventLog
  /** The versions of all services, as this router knows them; empty before it has read the list. */
  readonly versions: () => readonly RecordedVersions[]
  /** Called once, with what was recorded before this router started. */
  readonly takeRecorded: (recorded: readonly RecordedVersions[]) => void
  readonly routerCount: () => number
  /** The store has come back from an older copy. */
  readonly onRestored: (listener: () => void) => Unsubscribe
  readonly random: () => number
}

/**
 * Records in the platform's store which software versions were in service of late. Returns a function that ends it.
 *
 * Guards against routers that are all killed at once: they would take the one version that they list then for the only one that served,
 * and join streams of two. Their agents may be killed with them, or leave with the servers of the old version.
 */
export const createVersionRecorder = ({ feed, timers, events, versions, takeRecorded, routerCount, onRestored, random }: Options): Unsubscribe => {
  const stopping = new AbortController()
  let recorded = new Map<string, RecordedVersions>()

  /** Returns false if the store did not answer. */
  const read = async (): Promise<boolean> => {
    const page = (await feed.readNewest(CALL_TIMEOUT_MS).run()).toMaybe().extract()
    if (!page) return false
    recorded = new Map()
    for (const record of page.records) {
      const decoded = decodeVersions(record)
      if (decoded) recorded.set(decoded.serviceName, decoded)
    }
    return true
  }

  const listChanged = (): readonly RecordedVersions[] => versions().filter(known => !sayTheSame(known, recorded.get(known.serviceName)))

  const write = async (): Promise<boolean> => {
    const changed = listChanged()
    if (changed.length === 0) return true
    const appended = await feed.append(changed.map(encodeVersions), undefined, CALL_TIMEOUT_MS).run()
    if (appended.isLeft()) return false
    for (const known of changed) recorded.set(known.serviceName, known)
    return true
  }

  const pause = async (durationMs: number): Promise<void> => { await sleep(timers, durationMs, stopping.signal) }

  const review = async (): Promise<void> => {
    if (listChanged().length === 0) return
    await pause(spreadWriteMs(routerCount(), MAX_SPREAD_MS, random()))
    const isDone = await read() && await write()
    if (!isDone) await pause(RETRY_MS)
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted && !await read()) await pause(RETRY_MS)
    if (stopping.signal.aborted) return
    runSafely(events, 'origins.takeRecorded', '', () => takeRecorded([...recorded.values()]))
    while (!stopping.signal.aborted) {
      await runTaskSafely(events, 'origins.recordVersions', '', review)
      await pause(REVIEW_MS)
    }
  }

  // What was recorded last may be gone: it is read again, and written if it is.
  const stopRestores = onRestored(() => { recorded = new Map() })
  runInBackground(events, 'origins.recordVersions', run())
  return () => {
    stopRestores()
    stopping.abort()
  }
}
