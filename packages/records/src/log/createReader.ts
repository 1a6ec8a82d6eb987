import { sleep } from '@figmount/base'

import { READ_GAP_MS, READ_WAIT_MS } from './constants.js'
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
  /** The greatest head known, from own appends and from peers. */
  readonly knownHead: () => LogOffset
  /** A read sent at this time reached the head, nothing missing. */
  readonly onConfirmed: (sentAtMs: number) => void
}

/** Reads the log until stopped: one long poll after another. */
export const createReader = (options: Options): { readonly stop: () => void } => {
  const { log, address, timers, events, metrics, follower } = options
  const stopping = new AbortController()
  let reached = false
  let lost = false
  let reportedBlocked = false

  const reportLost = (fault: Fault): void => {
    metrics.count('records_read_faults')
    if (lost) return
    lost = true
    events.emit(RecordEvent.logLost, { peer: fault.peer, step: fault.step, reason: fault.message, offset: follower.position() })
  }

  const reportReached = (): void => {
    if (reached && !lost) return
    reached = true
    lost = false
    events.emit(RecordEvent.logReached, { peer: address, offset: follower.position() })
  }

  const reportBlocked = (): void => {
    if (reportedBlocked) return
    reportedBlocked = true
    events.emit(RecordEvent.rebuildBlocked, { peer: address, offset: follower.state().nextOffset })
  }

  const take = (read: LogRead, sentAtMs: number, headAtSend: LogOffset): boolean => {
    const before = follower.position()
    // Guards against a copy of the log that lags behind: it shows an older head than is known to
    // exist, so an agent that trusted it would take a right that was revoked for its own.
    if (read.headOffset < headAtSend) {
      events.emit(RecordEvent.staleRead, { peer: address, offset: read.headOffset })
      follower.takeFromLog(read.records, 0 as LogOffset)
      return follower.position() > before
    }
    follower.takeFromLog(read.records, read.oldestOffset)
    const moved = follower.position() !== before
    const atHead = follower.position() >= read.headOffset
    if (atHead && follower.isBlocked()) reportBlocked()
    if (atHead && !follower.isBlocked()) {
      reportedBlocked = false
      options.onConfirmed(sentAtMs)
      reportReached()
    }
    return moved || atHead
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
      Right: read => take(read, sentAtMs, headAtSend)
    })
  }

  const run = async (): Promise<void> => {
    let failureCount = 0
    while (!stopping.signal.aborted) {
      const startedAtMs = timers.nowMs()
      const progressed = await readOnce()
      failureCount = progressed ? 0 : failureCount + 1
      const restMs = startedAtMs + READ_GAP_MS - timers.nowMs()
      const pauseMs = progressed ? restMs : options.jitter(failureCount - 1)
      if (pauseMs > 0) await sleep(timers, pauseMs, stopping.signal)
    }
  }

  run().catch((error: Error) => { events.emit(RecordEvent.logLost, { peer: address, step: 'records.read', reason: error.message }) })

  return { stop: () => stopping.abort() }
}
