import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault, sleep } from '@figmount/base'

import {
  APPEND_BURST, APPEND_DEADLINE_MS, MAX_QUEUED_APPENDS, APPENDS_PER_SECOND, BATCH_MAX_BYTES, BATCH_MAX_COUNT, MAX_PAYLOAD_BYTES, MAX_REMEMBERED_OUTCOMES
} from './constants.js'
import { duplicateOutcome } from '../fold/foldRecords.js'
import { encodeRecord } from './codec.js'
import { RecordEvent } from './events.js'

import type { Either } from 'purify-ts'
import type { EventLog, Fault, InstanceName, LogOffset, Metrics, TimerService } from '@figmount/base'
import type { FoldOutcome, LogRecord } from '../fold/types.js'
import type { Jitter } from './createJitter.js'
import type { PlatformLogCalls } from './openLog.js'

/** The offset of an appended record and its outcome in the fold. */
export interface AppendResult {
  readonly outcome: FoldOutcome
  readonly offset: LogOffset
}

interface PendingAppend {
  readonly record: LogRecord
  readonly payload: Uint8Array
  readonly settle: (result: Either<Fault, AppendResult>) => void
  /** `queued`: the next call will include it. `sent`: a call in flight or an earlier one included it. */
  readonly status: 'queued' | 'sent'
  /** True once a call has included it, even if it is queued again: it may be in the log. */
  readonly wasSent: boolean
  /** Monotonic time at which a call that included it failed; undefined if none has. */
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
  /** The offset up to which the state is folded, if a record with this id was folded recently. */
  readonly findFolded: (recordId: string) => LogOffset | undefined
}

/** Appends records in batches and returns each record's outcome to its writer. */
export interface Appender {
  readonly append: (record: LogRecord) => EitherAsync<Fault, AppendResult>
  /** Must be called when this process has folded a record, from the log or from a peer. */
  readonly onFolded: (record: LogRecord, offset: LogOffset, outcome: FoldOutcome) => void
  /** Must be called when a read sent at this monotonic time has reached the head. */
  readonly onConfirmed: (sentAtMs: number) => void
  readonly stop: () => void
}

/** Starts the appender. One call is in flight at a time; records that arrive meanwhile share the next. */
export const createAppender = (options: Options): Appender => {
  const { log, address, timers, events, metrics } = options
  const pending = new Map<string, PendingAppend>()
  const ownOutcomes = new Map<string, AppendResult>()
  const stopping = new AbortController()
  const perSecond = options.appendsPerSecond ?? APPENDS_PER_SECOND
  let tokens = APPEND_BURST
  let refilledAtMs = timers.nowMs()
  let wakeSender: (() => void) | undefined

  const fault = (kind: FaultKind, message: string): Fault => makeFault(kind, 'records.append', address, message)

  const settle = (recordId: string, result: Either<Fault, AppendResult>): void => {
    const entry = pending.get(recordId)
    if (!entry) return
    pending.delete(recordId)
    entry.settle(result)
  }

  const expire = (recordId: string): void => {
    const entry = pending.get(recordId)
    if (!entry) return
    if (!entry.wasSent) return settle(recordId, Left(fault(FaultKind.Unavailable, 'not appended, the log did not take it in time')))
    events.emit(RecordEvent.appendUnknown, { detail: entry.record.kind, step: 'records.append', peer: address })
    settle(recordId, Left(fault(FaultKind.Timeout, 'outcome unknown, the log did not answer in time')))
  }

  const collectBatch = (): readonly PendingAppend[] => {
    const batch: PendingAppend[] = []
    let bytes = 0
    for (const entry of pending.values()) {
      if (entry.status !== 'queued') continue
      bytes += entry.payload.byteLength
      if (batch.length >= BATCH_MAX_COUNT || (batch.length > 0 && bytes > BATCH_MAX_BYTES)) break
      batch.push(entry)
    }
    return batch
  }

  const updateEntries = (batch: readonly PendingAppend[], change: Partial<PendingAppend>): void => {
    for (const { record: { recordId } } of batch) {
      const entry = pending.get(recordId)
      if (entry) pending.set(recordId, { ...entry, ...change })
    }
  }

  const waitForWork = async (): Promise<void> => await new Promise(resolve => { wakeSender = resolve })

  const waitForRateLimit = async (): Promise<void> => {
    const nowMs = timers.nowMs()
    tokens = Math.min(APPEND_BURST, tokens + (nowMs - refilledAtMs) * perSecond / 1000)
    refilledAtMs = nowMs
    tokens -= 1
    if (tokens < 0) await sleep(timers, -tokens * 1000 / perSecond, stopping.signal)
  }

  const sendBatch = async (batch: readonly PendingAppend[]): Promise<boolean> => {
    updateEntries(batch, { status: 'sent', wasSent: true })
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
        updateEntries(batch, { failedAtMs: timers.nowMs() })
        return false
      }
    })
  }

  const run = async (): Promise<void> => {
    let failureCount = 0
    while (!stopping.signal.aborted) {
      if (collectBatch().length === 0) {
        await waitForWork()
        continue
      }
      await waitForRateLimit()
      const batch = collectBatch()
      if (batch.length === 0) continue
      const sent = await sendBatch(batch)
      failureCount = sent ? 0 : failureCount + 1
      if (!sent) await sleep(timers, options.jitter(failureCount - 1), stopping.signal)
    }
  }

  // A writer may append again under the same record id after its first append timed out.
  const findOutcome = (recordId: string): AppendResult | undefined => {
    const known = ownOutcomes.get(recordId)
    if (known) return known
    const offset = options.findFolded(recordId)
    return offset === undefined ? undefined : { outcome: duplicateOutcome, offset }
  }

  const rememberOutcome = (recordId: string, result: AppendResult): void => {
    ownOutcomes.set(recordId, result)
    const [oldest] = ownOutcomes.keys()
    if (oldest !== undefined && ownOutcomes.size > MAX_REMEMBERED_OUTCOMES) ownOutcomes.delete(oldest)
  }

  const enqueue = async (record: LogRecord): Promise<Either<Fault, AppendResult>> => {
    const known = findOutcome(record.recordId)
    if (known) return Right(known)
    if (stopping.signal.aborted) return Left(fault(FaultKind.Unavailable, 'not appended, the process stops'))
    if (pending.has(record.recordId)) return Left(fault(FaultKind.Conflict, `record ${record.recordId} is being appended`))
    if (pending.size >= MAX_QUEUED_APPENDS) return Left(fault(FaultKind.Exhausted, 'not appended, too many records wait'))
    const payload = encodeRecord(record)
    if (payload.byteLength > MAX_PAYLOAD_BYTES) return Left(fault(FaultKind.Invalid, `longer than ${MAX_PAYLOAD_BYTES} bytes`))
    return await new Promise(resolve => {
      const cancel = timers.after(APPEND_DEADLINE_MS, () => expire(record.recordId))
      const finish = (result: Either<Fault, AppendResult>): void => {
        cancel()
        resolve(result)
      }
      pending.set(record.recordId, { record, payload, status: 'queued', wasSent: false, settle: finish })
      wakeSender?.()
    })
  }

  // Guards against a write that took effect although its answer was lost. Its outcome is unknown until a read
  // sent after the failure has reached the head; if the record is not in the log by then, it is sent
  // again under the same id. If the first copy arrives after all, the fold ignores the second.
  const onConfirmed = (sentAtMs: number): void => {
    for (const entry of [...pending.values()]) {
      if (entry.failedAtMs === undefined || entry.failedAtMs > sentAtMs) continue
      const { failedAtMs, ...rest } = entry
      pending.set(entry.record.recordId, { ...rest, status: 'queued' })
      metrics.count('records_append_repeats')
      wakeSender?.()
    }
  }

  run().catch((error: Error) => { events.emit(RecordEvent.appendUnknown, { reason: error.message, step: 'records.append' }) })

  return {
    append: record => {
      // Started at once: a lazy EitherAsync that is never awaited would not append.
      const result = enqueue(record)
      return EitherAsync.fromPromise(async () => await result)
    },
    onFolded: (record, offset, outcome) => {
      if (record.writer !== options.instance) return
      if (outcome !== duplicateOutcome) rememberOutcome(record.recordId, { outcome, offset })
      const known = ownOutcomes.get(record.recordId)
      if (known) return settle(record.recordId, Right(known))
      // The state skipped the first copy by adopting a snapshot, so the outcome can't be determined.
      expire(record.recordId)
    },
    onConfirmed,
    stop: () => {
      stopping.abort()
      wakeSender?.()
      for (const recordId of [...pending.keys()]) expire(recordId)
    }
  }
}
