import type { EitherAsync } from 'purify-ts'
import type { Fault } from '@figmount/base'

/** The value of one key at one offset of a feed. */
export interface FeedRecord {
  /** Empty when the key could not be decoded; such a record belongs to no key. */
  readonly key: string
  /** Undefined when the key was deleted. */
  readonly value: Uint8Array | undefined
  /** Position in the feed; a greater one is newer, also after the store has come back from an older copy. */
  readonly offset: number
}

/** The result of one read of a feed. */
export interface FeedPage {
  readonly records: readonly FeedRecord[]
  /** Offset at which the next read continues. */
  readonly nextOffset: number
  /** The requested records have expired: only the newest values can be read. */
  readonly isExpired: boolean
  /** The store's era: it rises when the store comes back from an older copy. Undefined if unknown. */
  readonly era?: number
}

/** A range of a feed that was read without gaps. */
export interface FeedRange {
  readonly fromOffset: number
  /** Offset after the last record of the range. */
  readonly toOffset: number
  readonly records: readonly FeedRecord[]
}

/** One read of the store by the follower itself, not by a peer. */
export interface FeedRead {
  readonly stretch: FeedRange
  /** The newest record of every key was read, instead of all records of the range. */
  readonly isWhole: boolean
  /** Start of the read. All records written before it are included. */
  readonly beganMs: number
}

/** Observes or ends a read while it is in progress. */
export interface ReadControl {
  readonly signal: AbortSignal
  /** Called with each part of the answer. */
  readonly noteProgress: () => void
}

/**
 * A feed of keyed records in the platform's store. `timeoutMs` is the longest time until an answer begins: a large one takes as long as it
 * needs while its bytes arrive.
 */
export interface KeyedFeed {
  readonly name: string
  /** Reads the newest record of every key. */
  readonly readNewest: (timeoutMs: number, control?: ReadControl) => EitherAsync<Fault, FeedPage>
  /** Reads the records from an offset on. The store waits up to `waitMs` for the first one. */
  readonly readSince: (offset: number, waitMs: number, timeoutMs: number, control?: ReadControl) => EitherAsync<Fault, FeedPage>
}

/** A feed whose end can be asked for. */
export interface CheckedFeed extends KeyedFeed {
  /** Offset after the newest record. The answer holds no records. */
  readonly readEnd: (timeoutMs: number) => EitherAsync<Fault, number>
}

/** A record to be appended to a feed. */
export interface NewRecord {
  readonly key: string
  /** Undefined to remove the key. */
  readonly value: Uint8Array | undefined
}

/** A feed to which figmount itself writes. */
export interface WritableFeed extends KeyedFeed {
  /**
   * Appends all records or none. With `atOffset` they are appended only if the feed ends there. After a fault the records may have been
   * appended, or may still be.
   */
  readonly append: (records: readonly NewRecord[], atOffset: number | undefined, timeoutMs: number) => EitherAsync<Fault, AppendOutcome>
}

/** What an append has done. */
export type AppendOutcome =
  /** `offset` is that of the first record. It differs from the one asked for if the store has come back from an older copy meanwhile. */
  | { readonly type: 'appended', readonly offset: number }
  /** The feed ends elsewhere: nothing was appended. */
  | { readonly type: 'moved' }
