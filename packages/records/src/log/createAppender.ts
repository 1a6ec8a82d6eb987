import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault, sleep } from '@figmount/base'

import {
  APPEND_BURST, APPEND_DEADLINE_MS, APPEND_QUEUE_LIMIT, APPENDS_PER_SECOND, BATCH_MAX_BYTES, BATCH_MAX_COUNT, MAX_PAYLOAD_BYTES, OUTCOMES_KEPT
} from './constants.js'
import { duplicateOutcome } from '../fold/foldRecords.js'
import { encodeRecord } from './codec.js'
import { RecordEvent } from './events.js'

import type { Either } from 'purify-ts'
import type { EventLog, Fault, InstanceName, LogOffset, Metrics, TimerService } from '@figmount/base'
import type { FoldOutcome, LogRecord } from '../fold/types.js'
import type { Jitter } from './createJitter.js'
import type { PlatformLogCalls } from './openLog.js'

/** Where an appended record stands in the log and what the fold made of it. */
export interface Appended {
  readonly outcome: FoldOutcome
  readonly offset: LogOffset
}

interface Waiting {
  readonly record: LogRecord
  readonly payload: Uint8Array
  readonly settle: (result: Either<Fault, Appended>) => void
  /** `queued`: the next call is to carry it. `sent`: a call carries it or has carried it. */
  readonly status: 'queued' | 'sent'
  /** True once a call has carried it, even if it is queued again: it may be in the log. */
  readonly wasSent: boolean
  /** Monotonic time at which a call that carried it failed; undefined while none has. */
  readonly failedAtMs?: number
}

interface Options {
  readonly log: PlatformLogCalls
  readonly address: string
  readonly instance: InstanceName
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  readonly jitter: Jitter
  readonly appendsPerSecond?: number
  readonly onAppended: (nextOffset: LogOffset) => void
  /** Whether a record with this id has been folded lately, and up to which offset. */
  readonly findFolded: (recordId: string) => LogOffset | undefined
}

/** Appends records in batches and tells each writer what became of its record. */
export interface Appender {
  readonly append: (record: LogRecord) => EitherAsync<Fault, Appended>
  /** A record was folded here, from the log or from a peer. */
  readonly onFolded: (record: LogRecord, offset: LogOffset, outcome: FoldOutcome) => void
  /** A read sent at this monotonic time has reached the head. */
  readonly onConfirmed: (sentAtMs: number) => void
  readonly stop: () => void
}

/** Starts the appender. One call is in flight at a time; what comes meanwhile shares the next. */
export const createAppender = (options: Options): Appender => {
  const { log, address, timers, events, metrics } = options
  const waiting = new Map<string, Waiting>()
  const ownOutcomes = new Map<string, Appended>()
  const stopping = new AbortController()
  const perSecond = options.appendsPerSecond ?? APPENDS_PER_SECOND
  let tokens = APPEND_BURST
  let refilledAtMs = timers.nowMs()
  let wake: (() => void) | undefined

  const fault = (kind: FaultKind, message: string): Fault => makeFault(kind, 'records.append', address, message)

  const settle = (recordId: string, result: Either<Fault, Appended>): void => {
    const entry = waiting.get(recordId)
    if (!entry) return
    waiting.delete(recordId)
    entry.settle(result)
  }

  const expire = (recordId: string): void => {
    const entry = waiting.get(recordId)
    if (!entry) return
    if (!entry.wasSent) return settle(recordId, Left(fault(FaultKind.Unavailable, 'not appended, the log did not take it in time')))
    events.emit(RecordEvent.appendUnknown, { detail: entry.record.kind, step: 'records.append', peer: address })
    settle(recordId, Left(fault(FaultKind.Timeout, 'outcome unknown, the log did not answer in time')))
  }

  const takeBatch = (): readonly Waiting[] => {
    const batch: Waiting[] = []
    let bytes = 0
    for (const entry of waiting.values()) {
      if (entry.status !== 'queued') continue
      bytes += entry.payload.byteLength
      if (batch.length >= BATCH_MAX_COUNT || (batch.length > 0 && bytes > BATCH_MAX_BYTES)) break
      batch.push(entry)
    }
    return batch
  }

  const mark = (batch: readonly Waiting[], change: Partial<Waiting>): void => {
    for (const { record: { recordId } } of batch) {
      const entry = waiting.get(recordId)
      if (entry) waiting.set(recordId, { ...entry, ...change })
    }
  }

  const waitForWork = async (): Promise<void> => await new Promise(resolve => { wake = resolve })

  const waitForBudget = async (): Promise<void> => {
    const nowMs = timers.nowMs()
    tokens = Math.min(APPEND_BURST, tokens + (nowMs - refilledAtMs) * perSecond / 1000)
    refilledAtMs = nowMs
    tokens -= 1
    if (tokens < 0) await sleep(timers, -tokens * 1000 / perSecond, stopping.signal)
  }

  const sendBatch = async (batch: readonly Waiting[]): Promise<boolean> => {
    mark(batch, { status: 'sent', wasSent: true })
    metrics.count('records_append_calls')
    metrics.count('records_append_records', batch.length)
    const sentAtMs = timers.nowMs()
    const result = await log.append(batch.map(entry => entry.payload)).run()
    return result.caseOf({
      Right: firstOffset => {
        metrics.observeMs('records_append_ms', timers.nowMs() - sentAtMs)
        options.onAppended((firstOffset + batch.length) as LogOffset)
        return true
      },
      Left: () => {
        metrics.count('records_append_faults')
        mark(batch, { failedAtMs: timers.nowMs() })
        return false
      }
    })
  }

  const run = async (): Promise<void> => {
    let failureCount = 0
    while (!stopping.signal.aborted) {
      if (takeBatch().length === 0) {
        await waitForWork()
        continue
      }
      await waitForBudget()
      const batch = takeBatch()
      if (batch.length === 0) continue
      const sent = await sendBatch(batch)
      failureCount = sent ? 0 : failureCount + 1
      if (!sent) await sleep(timers, options.jitter(failureCount - 1), stopping.signal)
    }
  }

  // A writer may ask again under the id of a record whose answer came too late for it.
  const findOutcome = (recordId: string): Appended | undefined => {
    const known = ownOutcomes.get(recordId)
    if (known) return known
    const offset = options.findFolded(recordId)
    return offset === undefined ? undefined : { outcome: duplicateOutcome, offset }
  }

  const remember = (recordId: string, appended: Appended): void => {
    ownOutcomes.set(recordId, appended)
    const [oldest] = ownOutcomes.keys()
    if (oldest !== undefined && ownOutcomes.size > OUTCOMES_KEPT) ownOutcomes.delete(oldest)
  }

  const enqueue = async (record: LogRecord): Promise<Either<Fault, Appended>> => {
    const known = findOutcome(record.recordId)
    if (known) return Right(known)
    if (stopping.signal.aborted) return Left(fault(FaultKind.Unavailable, 'not appended, the process stops'))
    if (waiting.has(record.recordId)) return Left(fault(FaultKind.Conflict, `record ${record.recordId} is being appended`))
    if (waiting.size >= APPEND_QUEUE_LIMIT) return Left(fault(FaultKind.Exhausted, 'not appended, too many records wait'))
    const payload = encodeRecord(record)
    if (payload.byteLength > MAX_PAYLOAD_BYTES) return Left(fault(FaultKind.Invalid, `longer than ${MAX_PAYLOAD_BYTES} bytes`))
    return await new Promise(resolve => {
      const cancel = timers.after(APPEND_DEADLINE_MS, () => expire(record.recordId))
      const finish = (result: Either<Fault, Appended>): void => {
        cancel()
        resolve(result)
      }
      waiting.set(record.recordId, { record, payload, status: 'queued', wasSent: false, settle: finish })
      wake?.()
    })
  }

  // Guards against a write that took effect although its answer was lost. Until a read sent after
  // the failure has reached the head nothing is known; if the record is not there by then it is
  // sent again under the same id. Should the first copy arrive after all, the fold drops one.
  const onConfirmed = (sentAtMs: number): void => {
    for (const entry of [...waiting.values()]) {
      if (entry.failedAtMs === undefined || entry.failedAtMs > sentAtMs) continue
      const { failedAtMs, ...rest } = entry
      waiting.set(entry.record.recordId, { ...rest, status: 'queued' })
      metrics.count('records_append_repeats')
      wake?.()
    }
  }

  run().catch((error: Error) => { events.emit(RecordEvent.appendUnknown, { reason: error.message, step: 'records.append' }) })

  return {
    append: record => {
      // Begun at once: an EitherAsync that nobody awaits would otherwise never append.
      const result = enqueue(record)
      return EitherAsync.fromPromise(async () => await result)
    },
    onFolded: (record, offset, outcome) => {
      if (record.writer !== options.instance) return
      if (outcome !== duplicateOutcome) remember(record.recordId, { outcome, offset })
      const known = ownOutcomes.get(record.recordId)
      if (known) return settle(record.recordId, Right(known))
      // The state has jumped over the first copy by a snapshot: what became of it can't be told.
      expire(record.recordId)
    },
    onConfirmed,
    stop: () => {
      stopping.abort()
      wake?.()
      for (const recordId of [...waiting.keys()]) expire(recordId)
    }
  }
}
