/** An in-memory log for tests: the records clients that share it fold the same records. */
import { EitherAsync, Left, Right } from 'purify-ts'
import { FaultKind, makeFault } from '@figmount/base'
import { applyRecord, emptyState } from '@figmount/records'

import type { Incarnation, InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { AgreedState, FoldOutcome, LogRecord, NewRecord, PlacedRecord, RecordsClient } from '@figmount/records'

export interface FakeLog {
  /** Appends a record as a router would. */
  readonly write: (record: NewRecord) => FoldOutcome
  readonly state: () => AgreedState
  readonly records: readonly LogRecord[]
  /** Whether the log is reachable. */
  isUp: boolean
  /** Pauses the clients' reads; records written meanwhile are still folded into `state`. */
  readonly pauseReads: () => void
  /** Resumes the clients' reads. */
  readonly resumeReads: () => void
  readonly clientOf: (instance: InstanceName, incarnation: Incarnation) => RecordsClient
}

/** Creates an in-memory log. */
export const createFakeLog = (timers: TimerService): FakeLog => {
  let state = emptyState
  let idCount = 0
  const records: LogRecord[] = []
  const listeners = new Set<(records: readonly PlacedRecord[], state: AgreedState) => void>()

  let paused: { readonly seen: AgreedState, readonly missed: PlacedRecord[] } | undefined

  const notify = (placed: readonly PlacedRecord[]): void => { for (const listen of listeners) listen(placed, state) }

  const place = (record: LogRecord): { readonly outcome: FoldOutcome, readonly offset: LogOffset } => {
    const offset = state.nextOffset
    const placed: PlacedRecord = { offset, appendedAtMs: timers.unixMs(), record }
    const folded = applyRecord(state, placed)
    state = folded.state
    records.push(record)
    if (paused) paused.missed.push(placed)
    else notify([placed])
    return { outcome: folded.outcome, offset }
  }

  const complete = (record: NewRecord, writer: InstanceName, writerIncarnation: Incarnation): LogRecord =>
    ({ ...record, recordId: record.recordId ?? `id-${idCount++}`, writer, writerIncarnation }) as LogRecord

  const log: FakeLog = {
    isUp: true,
    pauseReads: () => { paused ??= { seen: state, missed: [] } },
    resumeReads: () => {
      const missed = paused?.missed ?? []
      paused = undefined
      if (missed.length > 0) notify(missed)
    },
    records,
    state: () => state,
    write: record => place(complete(record, 'router-1' as InstanceName, 'r1' as Incarnation)).outcome,
    clientOf: (instance, incarnation) => {
      let confirmedAtMs = Number.NEGATIVE_INFINITY
      const confirm = (): void => { if (log.isUp) confirmedAtMs = timers.nowMs() }
      confirm()
      const stop = timers.every(100, confirm)
      return {
        state: () => paused?.seen ?? state,
        confirmedAtMs: () => confirmedAtMs,
        isReady: () => true,
        onChange: listen => {
          listeners.add(listen)
          return () => { listeners.delete(listen) }
        },
        append: record => EitherAsync.liftEither(log.isUp
          ? Right(place(complete(record, instance, incarnation)))
          : Left(makeFault(FaultKind.Unavailable, 'log.append', 'log', 'the log is down'))),
        offer: () => {},
        rawFrom: () => [],
        stop
      }
    }
  }
  return log
}
