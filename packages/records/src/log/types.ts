import type { EitherAsync } from 'purify-ts'
import type { Fault, LogOffset, Unsubscribe } from '@figmount/base'
import type { AgreedState, FoldOutcome, LogRecord, PlacedRecord } from '../fold/types.js'

/** A record before the client adds `recordId`, `writer` and `writerIncarnation`. */
export type NewRecord = LogRecord extends infer R ? R extends LogRecord ? Omit<R, 'recordId' | 'writer' | 'writerIncarnation'> & { readonly recordId?: string } : never : never

/** A record as peers pass it on: the bytes that the log holds. */
export interface RawRecord {
  readonly offset: LogOffset
  readonly appendedAtMs: number
  readonly payload: Uint8Array
}

/**
 * One process's view of the platform's log: reads it, folds it, passes records on
 * to and from peers, and appends in batches.
 */
export interface RecordsClient {
  readonly state: () => AgreedState
  /** Monotonic send time of the last read that reached the head of the log; -Infinity if none. */
  readonly confirmedAtMs: () => number
  /** True once the state has been rebuilt from a log or a peer. */
  readonly isReady: () => boolean
  readonly onChange: (listen: (records: readonly PlacedRecord[], state: AgreedState) => void) => Unsubscribe
  /** Appends, then waits until the own fold has read the record back. A lost answer is found by record id. */
  readonly append: (record: NewRecord) => EitherAsync<Fault, { readonly outcome: FoldOutcome, readonly offset: LogOffset }>
  /** Takes records from a peer; gaps are left for the log or a later offer. */
  readonly offer: (records: readonly RawRecord[]) => void
  /** Recent records from `fromOffset` on, for a peer that is behind; empty if no longer kept. */
  readonly rawFrom: (fromOffset: LogOffset, maxCount: number) => readonly RawRecord[]
  readonly stop: () => void
}

/** A client that also tells how old the log's latest snapshot is. */
export interface FollowingClient extends RecordsClient {
  /** The latest complete snapshot that was read from the log; undefined if none was. */
  readonly lastSnapshot: () => SnapshotSeen | undefined
}

/** A complete snapshot in the log. */
export interface SnapshotSeen {
  readonly baseOffset: LogOffset
  /** Log time of its last chunk. */
  readonly completedAtMs: number
}
