/** The log of a protocol test: appends in flight, and the state after each record. */
import { emptyState } from '../fold/emptyState.js'
import { applyRecord } from '../fold/applyRecord.js'

import type { InstanceName, LogOffset } from '@figmount/base'
import type { AgreedState, LogRecord } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'

export interface TestLog {
  /** Sends an append, which may arrive late, twice or never. */
  readonly send: (record: NewRecord, writer: string, writerIncarnation?: string) => void
  /** Delivers the `pick`-th append in flight; with `again` it stays in flight and can be delivered once more. */
  readonly deliver: (pick: number, nowMs: number, again: boolean) => void
  /** Delivers all appends in flight, in order. */
  readonly deliverAll: (nowMs: number) => void
  readonly lose: (pick: number) => void
  readonly head: () => LogOffset
  readonly stateAt: (offset: number) => AgreedState
  readonly present: () => AgreedState
  /** Number of applied records of a kind. */
  readonly appliedCount: (kind: LogRecord['kind']) => number
}

export const createTestLog = (): TestLog => {
  const states: AgreedState[] = [emptyState]
  const inFlight: LogRecord[] = []
  let idCount = 0

  const appliedCounts = new Map<LogRecord['kind'], number>()

  const present = (): AgreedState => states.at(-1) ?? emptyState
  const head = (): LogOffset => (states.length - 1) as LogOffset

  const appendRecord = (record: LogRecord, nowMs: number): void => {
    const { state, outcome } = applyRecord(present(), { offset: head(), appendedAtMs: nowMs, record })
    states.push(state)
    if (outcome.applied) appliedCounts.set(record.kind, (appliedCounts.get(record.kind) ?? 0) + 1)
  }

  return {
    send: (record, writer, writerIncarnation) => {
      const completeRecord = { recordId: `t${idCount++}`, ...record, writer: writer as InstanceName, ...(writerIncarnation ? { writerIncarnation } : {}) }
      inFlight.push(completeRecord as LogRecord)
    },
    deliver: (pick, nowMs, again) => {
      const index = pick % Math.max(1, inFlight.length)
      const record = inFlight[index]
      if (!record) return
      if (!again) inFlight.splice(index, 1)
      appendRecord(record, nowMs)
    },
    deliverAll: nowMs => { for (const record of inFlight.splice(0)) appendRecord(record, nowMs) },
    lose: pick => { inFlight.splice(pick % Math.max(1, inFlight.length), 1) },
    head,
    stateAt: offset => states[offset] ?? emptyState,
    present,
    appliedCount: kind => appliedCounts.get(kind) ?? 0
  }
}
