import type { DataCentre, Incarnation, InstanceName, LogOffset, ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { ConfigVersion, ItemName } from '../config/types.js'
import type { RightId, RightKey, RightState } from '../rights/types.js'
import type { Suspect } from '../suspects/types.js'

interface RecordHeader {
  /** Chosen by the writer; the same on every resend of one append. */
  readonly recordId: string
  readonly writer: InstanceName
  /** Incarnation of the writer; a release counts only from the holder's current one. */
  readonly writerIncarnation?: Incarnation
}

/** Every kind of record that figmount writes to the platform's log. */
export type LogRecord =
  | RecordHeader & {
    readonly kind: 'config.set'
    readonly item: ItemName
    readonly expectedVersion: number
    /** An empty body retires the item. */
    readonly bodyJson: string
    readonly operatorName: string
  }
  | RecordHeader & {
    readonly kind: 'agent.up'
    readonly instance: InstanceName
    readonly incarnation: Incarnation
    readonly dataCentre: DataCentre
    readonly services: readonly ServiceName[]
    readonly backendKind: 'engine' | 'plain'
    readonly memoryCapacityMb: number
    readonly enforcesFence: boolean
  }
  | RecordHeader & {
    /** Ignored unless the right is free, grantable and its last fence is `expectedFence` (0 if never granted). */
    readonly kind: 'right.grant'
    readonly right: RightKey
    readonly instance: InstanceName
    readonly incarnation: Incarnation
    readonly expectedFence: number
  }
  | RecordHeader & { readonly kind: 'right.revoke', readonly right: RightKey, readonly fence: LogOffset }
  | RecordHeader & { readonly kind: 'right.release', readonly right: RightKey, readonly fence: LogOffset }
  | RecordHeader & {
    /** Starts a new tenure of the `keys` right of a holder that has restarted. */
    readonly kind: 'right.renew'
    readonly right: RightKey
    readonly fence: LogOffset
    readonly incarnation: Incarnation
  }
  | RecordHeader & {
    /** Frees all rights granted to the instance up to `upToOffset`; ignored if its agent came up after that. */
    readonly kind: 'instance.void'
    readonly instance: InstanceName
    readonly upToOffset: LogOffset
  }
  | RecordHeader & {
    readonly kind: 'drain.set'
    readonly instance: InstanceName
    readonly draining: boolean
    readonly operatorName: string
  }
  | RecordHeader & {
    readonly kind: 'suspect.add'
    readonly fingerprints: readonly string[]
    readonly deathId: string
    readonly instance: InstanceName
  }
  | RecordHeader & { readonly kind: 'suspect.clear', readonly fingerprint: string }
  | RecordHeader & {
    readonly kind: 'snapshot.chunk'
    readonly snapshotId: string
    /** The snapshot holds the state after all records below this offset. */
    readonly baseOffset: LogOffset
    readonly index: number
    readonly count: number
    readonly bytes: Uint8Array
  }

/** A record with its offset and time in the log. */
export interface PlacedRecord {
  readonly offset: LogOffset
  /** Time of the append by the log's clock. */
  readonly appendedAtMs: number
  readonly record: LogRecord
}

/** The agreed state: a pure fold over the log, the same in every process at the same offset. */
export interface AgreedState {
  /** The offset of the next record to apply. */
  readonly nextOffset: LogOffset
  /** Log time of the last applied record. */
  readonly asOfMs: number
  readonly items: ReadonlyMap<ItemName, ConfigVersion>
  /** Earlier versions of each item, oldest first, limited by MAX_HISTORY_LENGTH and MAX_HISTORY_BYTES. */
  readonly history: ReadonlyMap<ItemName, readonly ConfigVersion[]>
  readonly agents: ReadonlyMap<InstanceName, AgentFacts>
  readonly rights: ReadonlyMap<RightId, RightState>
  readonly suspects: ReadonlyMap<string, Suspect>
  /** Ids of the last MAX_RECENT_RECORD_IDS records, oldest first, by which a second copy of an append is ignored. */
  readonly recentRecordIds: ReadonlySet<string>
}

/** A record whose payload could not be decoded, or whose kind this build does not know. */
export interface UnreadableRecord {
  readonly offset: LogOffset
  readonly appendedAtMs: number
  readonly unreadable: string
}

/** Input of the fold: unreadable records are included because each one occupies an offset. */
export type FoldInput = PlacedRecord | UnreadableRecord

/** The outcome of a record in the fold. */
export type FoldOutcome =
  | { readonly applied: true }
  | { readonly applied: false, readonly reason: string }
