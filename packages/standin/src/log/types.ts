/** A record as the log keeps it. */
export interface KeptRecord {
  readonly offset: number
  readonly appendedAtMs: number
  readonly payload: Uint8Array
}

/** The log: `records` are those still kept, `headOffset` is the offset of the next one. */
export interface LogState {
  readonly records: readonly KeptRecord[]
  readonly oldestOffset: number
  readonly headOffset: number
}

/** How long and how many records are kept. */
export interface Retention {
  readonly retentionMs: number
  readonly retentionCount: number
}
