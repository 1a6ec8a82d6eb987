/** A record of the log with its offset and append time. */
export interface StoredRecord {
  readonly offset: number
  readonly appendedAtMs: number
  readonly payload: Uint8Array
}

/** The log's state: `records` are those still retained, `headOffset` is the offset of the next record. */
export interface LogState {
  readonly records: readonly StoredRecord[]
  readonly oldestOffset: number
  readonly headOffset: number
}

/** Maximum age and number of retained records. */
export interface Retention {
  readonly retentionMs: number
  readonly retentionCount: number
}
