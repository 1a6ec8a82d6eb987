import type { KeptRecord, LogState, Retention } from './types.js'

export const EMPTY_LOG: LogState = { records: [], oldestOffset: 0, headOffset: 0 }

/** Appends all payloads in order. */
export const appendRecords = (state: LogState, payloads: readonly Uint8Array[], nowMs: number): LogState => {
  const added = payloads.map((payload, index): KeptRecord => ({ offset: state.headOffset + index, appendedAtMs: nowMs, payload }))
  return { ...state, records: [...state.records, ...added], headOffset: state.headOffset + added.length }
}

/** Forgets records that are too old or too many. */
export const expireRecords = (state: LogState, retention: Retention, nowMs: number): LogState => {
  const excessCount = state.records.length - retention.retentionCount
  const kept = state.records.filter((record, index) =>
    index >= excessCount && nowMs - record.appendedAtMs <= retention.retentionMs)
  if (kept.length === state.records.length) return state
  return { ...state, records: kept, oldestOffset: kept[0]?.offset ?? state.headOffset }
}

/** At most `maxCount` kept records from `fromOffset` on. */
export const readRecords = (state: LogState, fromOffset: number, maxCount: number): readonly KeptRecord[] => {
  const start = Math.max(0, fromOffset - state.oldestOffset)
  return state.records.slice(start, start + maxCount)
}
