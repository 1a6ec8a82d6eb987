import { RecordEvent } from './events.js'
import { serviceOfTarget } from '../rights/rightId.js'

import type { EventFields, EventLog, InstanceName, Metrics } from '@figmount/base'
import type { FoldInput, FoldOutcome, LogRecord } from '../fold/types.js'
import type { RightKey } from '../rights/types.js'

interface FoldedRecord {
  readonly record: FoldInput
  readonly outcome: FoldOutcome
  readonly instance: InstanceName
  readonly events: EventLog
  readonly metrics: Metrics
}

const rightFields = (right: RightKey): EventFields => ({
  service: serviceOfTarget(right.target),
  model: right.target,
  ...(right.kind === 'replica' ? { slotIndex: right.slotIndex } : {})
})

const isAboutOwnRight = (record: LogRecord, instance: InstanceName): boolean =>
  record.kind === 'right.grant' ? record.instance === instance : record.writer === instance

/**
 * Emits the events of a folded record that concern this process: configuration now in force, changes
 * of its own rights, and ignored or unreadable records.
 */
export const reportRecord = ({ record: input, outcome, instance, events, metrics }: FoldedRecord): void => {
  metrics.count(outcome.applied ? 'records_applied' : 'records_ignored')
  const { offset } = input
  if ('unreadable' in input) return events.emit(RecordEvent.recordUnreadable, { offset, reason: input.unreadable })
  const { record } = input
  if (!outcome.applied) return events.emit(RecordEvent.recordIgnored, { offset, detail: record.kind, reason: outcome.reason })
  if (record.kind === 'config.set') return events.emit(RecordEvent.configInForce, { offset, item: record.item, version: String(record.expectedVersion + 1) })
  if (!('right' in record) || !isAboutOwnRight(record, instance)) return
  const fence = record.kind === 'right.grant' ? offset : record.fence
  events.emit(RecordEvent.rightChanged, { offset, fence, detail: record.kind, ...rightFields(record.right) })
}
