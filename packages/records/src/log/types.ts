import type { EitherAsync } from 'purify-ts'
import type { Fault, LogOffset, Unsubscribe } from '@figmount/base'
import type { AgreedState, FoldOutcome, LogRecord, PlacedRecord } from '../fold/types.js'

/** A record to append; the client adds `writer` and `writerIncarnation`, and `recordId` unless it is given. */
export type NewRecord = LogRecord extends infer R ? R extends LogRecord ? Omit<R, 'recordId' | 'writer' | 'writerIncarnation'> & { readonly recordId?: string } : never : never

/** A record as the log stores it and peers forward it: undecoded bytes. */
export interface RawRecord {
  readonly offset: LogOffset
  readonly appendedAtMs: number
  readonly payload: Uint8Array
}

/**
 * One process's view of the platform's log: reads and folds it, exchanges records with peers, and
 * appends in batches.
 */
export interface RecordsClient {
  readonly state: () => AgreedState
  /** Monotonic send time of the last read that reached the head of the log; -Infinity if there was none. */
  readonly confirmedAtMs: () => number
  /** True once the state has been rebuilt from the log or a peer. */
  readonly isReady: () => boolean
  readonly onChange: (listen: (records: readonly PlacedRecord[], state: AgreedState) => void) => Unsubscribe
  /** Appends a record and waits until this process has folded it. If the append's answer is lost, the record is found by its id. */
  readonly append: (record: NewRecord) => EitherAsync<Fault, { readonly outcome: FoldOutcome, readonly offset: LogOffset }>
  /** Applies records received from a peer; gaps are filled by the log or a later offer. */
  readonly offer: (records: readonly RawRecord[]) => void
  /** Recent records from `fromOffset` on for a peer that is behind, or chunks of a snapshot if those are no longer buffered. */
  readonly rawFrom: (fromOffset: LogOffset, maxCount: number) => readonly RawRecord[]
  readonly stop: () => void
}

/** A client that also reports the latest snapshot in the log. */
export interface SnapshotTrackingClient extends RecordsClient {
  /** The latest complete snapshot read from the log; undefined if there was none. */
  readonly lastSnapshot: () => LogSnapshot | undefined
}

/** A complete snapshot in the log. */
export interface LogSnapshot {
  readonly baseOffset: LogOffset
  /** Log time of its last chunk. */
  readonly completedAtMs: number
}
