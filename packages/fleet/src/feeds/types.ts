import type { EitherAsync } from 'purify-ts'
import type { Fault } from '@figmount/base'

/** The newest value of one key. */
export interface FeedRecord {
  /** Empty when it could not be read: such a record names nothing. */
  readonly key: string
  /** Undefined when the key was dropped. */
  readonly value: Uint8Array | undefined
  /** Place in the feed's order; a greater one is newer. */
  readonly offset: number
}

/** What one read of a feed returned. */
export interface FeedPage {
  readonly records: readonly FeedRecord[]
  /** Where the next read goes on. */
  readonly nextOffset: number
  /** The records asked for have expired: only the newest values can be read. */
  readonly isExpired: boolean
}

/** A part of a feed that was read without a gap. */
export interface FeedStretch {
  readonly fromOffset: number
  /** Offset after its last record. */
  readonly toOffset: number
  readonly records: readonly FeedRecord[]
}

/** One own read of a feed. */
export interface FeedRead {
  readonly stretch: FeedStretch
  /** The newest record of every key was read, in place of all records of the stretch. */
  readonly isWhole: boolean
  /** Everything that was written before this time is in it. */
  readonly beganMs: number
}

/** A feed of keyed records in the platform's store. */
export interface KeyedFeed {
  readonly name: string
  /** The newest record of every key; a fault when the store does not answer in time. */
  readonly readNewest: (timeoutMs: number) => EitherAsync<Fault, FeedPage>
  /** Records from an offset on; the store waits up to `waitMs` for the first one. */
  readonly readSince: (offset: number, waitMs: number, timeoutMs: number) => EitherAsync<Fault, FeedPage>
}
