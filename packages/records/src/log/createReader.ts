import { sleep } from '@figmount/base'

import { MIN_READ_INTERVAL_MS, READ_WAIT_MS } from './constants.js'
import { RecordEvent } from './events.js'

import type { EventLog, Fault, LogOffset, Metrics, TimerService } from '@figmount/base'
import type { Follower } from './createFollower.js'
import type { Jitter } from './createJitter.js'
import type { LogRead, PlatformLogCalls } from './openLog.js'

interface Options {
  readonly log: PlatformLogCalls
  readonly address: string
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  readonly jitter: Jitter
  readonly follower: Follower
  /** The greatest known head of the log, from own appends and from peers. */
  readonly knownHead: () => LogOffset
  /** Called when a read sent at this time has reached the head and no records are missing. */
  readonly onConfirmed: (sentAtMs: number) => void
}

/** Reads the log in long polls until stopped. */
export const createReader = (options: Options): { readonly stop: () => void } => {
  const { log, address, timers, events, metrics, follower } = options
  const stopping = new AbortController()
  let hasReachedHead = false
  let isLost = false
  let hasReportedBlocked = false

  const reportLost = (fault: Fault): void => {
    metrics.count('records_read_faults')
    if (isLost) return
    isLost = true
    events.emit(RecordEvent.logLost, { peer: fault.peer, step: fault.step, reason: fault.message, offset: follower.position() })
  }

  const reportReached = (): void => {
    if (hasReachedHead && !isLost) return
    hasReachedHead = true
    isLost = false
    events.emit(RecordEvent.logReached, { peer: address, offset: follower.position() })
  }

  const reportBlocked = (): void => {
    if (hasReportedBlocked) return
    hasReportedBlocked = true
    events.emit(RecordEvent.rebuildBlocked, { peer: address, offset: follower.state().nextOffset })
  }

  const applyRead = (read: LogRead, sentAtMs: number, headAtSend: LogOffset): boolean => {
    const previousPosition = follower.position()
    // Guards against a copy of the log that lags behind: it returns a head older than one already seen, and an
    // agent that took it for current would act on a right that has been revoked.
    if (read.headOffset < headAtSend) {
      events.emit(RecordEvent.staleRead, { peer: address, offset: read.headOffset })
      follower.takeFromLog(read.records, 0 as LogOffset)
      return follower.position() > previousPosition
    }
    follower.takeFromLog(read.records, read.oldestOffset)
    const hasMoved = follower.position() !== previousPosition
    const isAtHead = follower.position() >= read.headOffset
    if (isAtHead && follower.isBlocked()) reportBlocked()
    if (isAtHead && !follower.isBlocked()) {
      hasReportedBlocked = false
      options.onConfirmed(sentAtMs)
      reportReached()
    }
    return hasMoved || isAtHead
  }

  const readOnce = async (): Promise<boolean> => {
    const sentAtMs = timers.nowMs()
    const headAtSend = Math.max(options.knownHead(), follower.position()) as LogOffset
    metrics.count('records_reads')
    const result = await log.read(follower.position(), READ_WAIT_MS).run()
    if (stopping.signal.aborted) return true
    return result.caseOf({
      Left: fault => {
        reportLost(fault)
        return false
      },
      Right: read => applyRead(read, sentAtMs, headAtSend)
    })
  }

  const run = async (): Promise<void> => {
    let failureCount = 0
    while (!stopping.signal.aborted) {
      const startedAtMs = timers.nowMs()
      const hasProgressed = await readOnce()
      failureCount = hasProgressed ? 0 : failureCount + 1
      const remainingMs = startedAtMs + MIN_READ_INTERVAL_MS - timers.nowMs()
      const pauseMs = hasProgressed ? remainingMs : options.jitter(failureCount - 1)
      if (pauseMs > 0) await sleep(timers, pauseMs, stopping.signal)
    }
  }

  run().catch((error: Error) => { events.emit(RecordEvent.logLost, { peer: address, step: 'records.read', reason: error.message }) })

  return { stop: () => stopping.abort() }
}
