import type { StoredRecord, LogState, Retention } from './types.js'

export const EMPTY_LOG: LogState = { records: [], oldestOffset: 0, headOffset: 0 }

/** Appends all payloads in order, with consecutive offsets. */
export const appendRecords = (state: LogState, payloads: readonly Uint8Array[], nowMs: number): LogState => {
  const stored = payloads.map((payload, index): StoredRecord => ({ offset: state.headOffset + index, appendedAtMs: nowMs, payload }))
  return { ...state, records: [...state.records, ...stored], headOffset: state.headOffset + stored.length }
}

/** Removes records that exceed the retention time or count. */
export const expireRecords = (state: LogState, retention: Retention, nowMs: number): LogState => {
  const excessCount = state.records.length - retention.retentionCount
  const remaining = state.records.filter((record, index) =>
    index >= excessCount && nowMs - record.appendedAtMs <= retention.retentionMs)
  if (remaining.length === state.records.length) return state
  return { ...state, records: remaining, oldestOffset: remaining[0]?.offset ?? state.headOffset }
}

/** Returns at most `maxCount` retained records, starting at `fromOffset`. */
export const readRecords = (state: LogState, fromOffset: number, maxCount: number): readonly StoredRecord[] => {
  const start = Math.max(0, fromOffset - state.oldestOffset)
  return state.records.slice(start, start + maxCount)
}
