/** The true log of a protocol test: appends on their way, and the state after each record. */
import { emptyState } from '../fold/emptyState.js'
import { applyRecord } from '../fold/applyRecord.js'

import type { InstanceName, LogOffset } from '@figmount/base'
import type { AgreedState, LogRecord } from '../fold/types.js'
import type { NewRecord } from '../log/types.js'

export interface TestLog {
  /** Sends an append that may arrive late, twice or never. */
  readonly send: (record: NewRecord, writer: string, writerIncarnation?: string) => void
  /** The `pick`-th append on its way takes effect; it stays on its way if `again`. */
  readonly deliver: (pick: number, nowMs: number, again: boolean) => void
  /** All that is on its way takes effect in order. */
  readonly deliverAll: (nowMs: number) => void
  readonly lose: (pick: number) => void
  readonly head: () => LogOffset
  readonly stateAt: (offset: number) => AgreedState
  readonly present: () => AgreedState
  /** How many records of a kind have been applied. */
  readonly appliedCount: (kind: LogRecord['kind']) => number
}

export const createTestLog = (): TestLog => {
  const states: AgreedState[] = [emptyState]
  const onTheWay: LogRecord[] = []
  let idCount = 0

  const counts = new Map<LogRecord['kind'], number>()

  const present = (): AgreedState => states.at(-1) ?? emptyState
  const head = (): LogOffset => (states.length - 1) as LogOffset

  const place = (record: LogRecord, nowMs: number): void => {
    const { state, outcome } = applyRecord(present(), { offset: head(), appendedAtMs: nowMs, record })
    states.push(state)
    if (outcome.applied) counts.set(record.kind, (counts.get(record.kind) ?? 0) + 1)
  }

  return {
    send: (record, writer, writerIncarnation) => {
      const whole = { recordId: `t${idCount++}`, ...record, writer: writer as InstanceName, ...(writerIncarnation ? { writerIncarnation } : {}) }
      onTheWay.push(whole as LogRecord)
    },
    deliver: (pick, nowMs, again) => {
      const index = pick % Math.max(1, onTheWay.length)
      const record = onTheWay[index]
      if (!record) return
      if (!again) onTheWay.splice(index, 1)
      place(record, nowMs)
    },
    deliverAll: nowMs => { for (const record of onTheWay.splice(0)) place(record, nowMs) },
    lose: pick => { onTheWay.splice(pick % Math.max(1, onTheWay.length), 1) },
    head,
    stateAt: offset => states[offset] ?? emptyState,
    present,
    appliedCount: kind => counts.get(kind) ?? 0
  }
}
