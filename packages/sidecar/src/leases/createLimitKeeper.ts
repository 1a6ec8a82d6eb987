import { notePace } from '@figmount/decisions'
import { runInBackground } from '@figmount/base'

import { SidecarEvent } from '../events.js'
import { LEASE_CALL_TIMEOUT_MS } from './constants.js'
import { emptyBook, takePage } from './leaseBook.js'
import { encodeLimit } from './leaseCodec.js'

import type { EventLog, TimerService } from '@figmount/base'
import type { LoadObservation, StorePace } from '@figmount/decisions'
import type { NewRecord, WritableFeed } from '@figmount/fleet'
import type { LeaseWriter } from './createLeaseWriter.js'

interface Options {
  readonly feed: WritableFeed
  readonly timers: TimerService
  readonly events: EventLog
  readonly writer: LeaseWriter
}

/** Keeps the limit in the lease feed up to date. */
export interface LimitKeeper {
  readonly note: (modelName: string, load: LoadObservation) => void
}

/** Attempts to write an observed load into the limit, each after another agent has written in between. */
const MAX_ATTEMPTS = 3

/**
 * Creates the keeper of one agent. An observation is applied to the newest limit, and written only if that has not changed meanwhile:
 * an agent that loads does not follow the feed, and would restore a limit that another one has lowered.
 */
export const createLimitKeeper = ({ feed, timers, events, writer }: Options): LimitKeeper => {
  const clock = () => ({ nowMs: timers.nowMs(), unixMs: timers.unixMs() })

  const recordOf = ({ fullSpeedCount, failedTrialCount, slowedAtMs }: StorePace): NewRecord => {
    const { nowMs, unixMs } = clock()
    return encodeLimit({ fullSpeedCount, failedTrialCount, slowedAtUnixMs: Number.isFinite(slowedAtMs) ? unixMs - (nowMs - slowedAtMs) : 0 })
  }

  /** True when nothing is left to do. */
  const update = async (modelName: string, load: LoadObservation): Promise<boolean> => {
    const page = (await feed.readNewest(LEASE_CALL_TIMEOUT_MS).run()).toMaybe().extract()
    if (!page) return true
    const known = takePage(emptyBook, page, true, clock()).pace
    const pace = notePace(known, load, timers.nowMs())
    if (pace === known) return true
    const result = await writer.append([recordOf(pace)], page.nextOffset)
    if (result === 'appended') {
      events.emit(SidecarEvent.storeLimitChanged, {
        model: modelName, maxCount: pace.fullSpeedCount, concurrentCount: load.concurrentCount - 1, durationMs: Math.round(load.tookMs)
      })
    }
    return result === 'appended' || result === 'unknown'
  }

  const updateRepeatedly = async (modelName: string, load: LoadObservation): Promise<void> => {
    for (let count = 0; count < MAX_ATTEMPTS; count++) {
      if (await update(modelName, load)) return
    }
  }

  return { note: (modelName, load) => { runInBackground(events, 'leases.limit', updateRepeatedly(modelName, load)) } }
}
