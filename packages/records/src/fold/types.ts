import type { DataCentre, Incarnation, InstanceName, LogOffset, ServiceName } from '@figmount/base'
import type { AgentFacts } from '../agents/types.js'
import type { ConfigVersion, ItemName } from '../config/types.js'
import type { RightId, RightKey, RightState } from '../rights/types.js'
import type { Suspect } from '../suspects/types.js'

interface RecordHead {
  /** Chosen by the writer, the same on every resend of one append. */
  readonly recordId: string
  readonly writer: InstanceName
  /** Incarnation of the writer; a release counts only from the holder's present one. */
  readonly writerIncarnation?: Incarnation
}

/** Everything figmount writes to the platform's log. */
export type LogRecord =
  | RecordHead & {
    readonly kind: 'config.set'
    readonly item: ItemName
    readonly expectedVersion: number
    /** Empty retires the item. */
    readonly bodyJson: string
    readonly operatorName: string
  }
  | RecordHead & {
    readonly kind: 'agent.up'
    readonly instance: InstanceName
    readonly incarnation: Incarnation
    readonly dataCentre: DataCentre
    readonly services: readonly ServiceName[]
    readonly backendKind: 'engine' | 'plain'
    readonly memoryCapacityMb: number
    readonly enforcesFence: boolean
  }
  | RecordHead & {
    /** Ignored unless the right is free, grantable and its last fence is `expectedFence` (0: never granted). */
    readonly kind: 'right.grant'
    readonly right: RightKey
    readonly instance: InstanceName
    readonly incarnation: Incarnation
    readonly expectedFence: number
  }
  | RecordHead & { readonly kind: 'right.revoke', readonly right: RightKey, readonly fence: LogOffset }
  | RecordHead & { readonly kind: 'right.release', readonly right: RightKey, readonly fence: LogOffset }
  | RecordHead & {
    /** A restarted holder starts the tenure of its `keys` right anew. */
    readonly kind: 'right.renew'
    readonly right: RightKey
    readonly fence: LogOffset
    readonly incarnation: Incarnation
  }
  | RecordHead & {
    /** Frees all rights that the instance was granted up to `upToOffset`; ignored if it came up after that. */
    readonly kind: 'instance.void'
    readonly instance: InstanceName
    readonly upToOffset: LogOffset
  }
  | RecordHead & {
    readonly kind: 'drain.set'
    readonly instance: InstanceName
    readonly draining: boolean
    readonly operatorName: string
  }
  | RecordHead & {
    readonly kind: 'suspect.add'
    readonly fingerprints: readonly string[]
    readonly deathId: string
    readonly instance: InstanceName
  }
  | RecordHead & { readonly kind: 'suspect.clear', readonly fingerprint: string }
  | RecordHead & {
    readonly kind: 'snapshot.chunk'
    readonly snapshotId: string
    /** The snapshot holds the state after all records below this offset. */
    readonly baseOffset: LogOffset
    readonly index: number
    readonly count: number
    readonly bytes: Uint8Array
  }

/** A record with its place and time in the log. */
export interface PlacedRecord {
  readonly offset: LogOffset
  /** The log's clock. */
  readonly appendedAtMs: number
  readonly record: LogRecord
}

/** The agreed state: a pure fold over the log, the same in every process at the same offset. */
export interface AgreedState {
  /** The offset that the next record to be applied must have. */
  readonly nextOffset: LogOffset
  /** Log time of the last applied record. */
  readonly asOfMs: number
  readonly items: ReadonlyMap<ItemName, ConfigVersion>
  /** Earlier versions of each item, oldest first, bounded by HISTORY_LENGTH. */
  readonly history: ReadonlyMap<ItemName, readonly ConfigVersion[]>
  readonly agents: ReadonlyMap<InstanceName, AgentFacts>
  readonly rights: ReadonlyMap<RightId, RightState>
  readonly suspects: ReadonlyMap<string, Suspect>
  /** Ids of the last RECENT_ID_COUNT records, oldest first: a second copy of an append is ignored. */
  readonly recentRecordIds: ReadonlySet<string>
}

/** A record whose payload could not be read, or whose kind this build does not know. */
export interface UnreadableRecord {
  readonly offset: LogOffset
  readonly appendedAtMs: number
  readonly unreadable: string
}

/** What the fold takes: every offset counts, read or not. */
export type FoldInput = PlacedRecord | UnreadableRecord

/** What became of a record in the fold. */
export type FoldOutcome =
  | { readonly applied: true }
  | { readonly applied: false, readonly reason: string }
