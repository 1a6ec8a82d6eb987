import { create } from '@bufbuild/protobuf'
import { EitherAsync, Right } from 'purify-ts'
import { ApplyOutcomeSchema, ConfigItemSchema } from '@figmount/schema'

import { RouterEvent } from '../events.js'
import { checkBody } from './checkBody.js'

import type { EventLog, Fault } from '@figmount/base'
import type { ConfigVersion, FoldOutcome, ItemName, RecordsClient } from '@figmount/records'
import type { ApplyItem, ApplyOutcome, ConfigItem } from '@figmount/schema'

interface ApplyOptions {
  readonly records: RecordsClient
  readonly events: EventLog
  readonly operatorName: string
  readonly changeId: string
  readonly change: ApplyItem
}

/** Converts a version of a configuration item to its message for operators. */
export const configItemOf = (version: ConfigVersion): ConfigItem => create(ConfigItemSchema, {
  name: version.item,
  bodyJson: version.bodyJson,
  version: BigInt(version.version),
  offset: BigInt(version.offset),
  operatorName: version.operatorName,
  changedAtMs: BigInt(Math.round(version.changedAtMs)),
  retired: version.retired
})

const outcomeOf = (options: ApplyOptions, accepted: boolean, detail: string): ApplyOutcome => {
  const name = options.change.name
  const current = options.records.state().items.get(name as ItemName)
  options.events.emit(accepted ? RouterEvent.configAccepted : RouterEvent.configRefused, {
    item: name, reason: detail, detail: options.operatorName, ...(current ? { offset: current.offset, count: current.version } : {})
  })
  return create(ApplyOutcomeSchema, { name, accepted, detail, ...(current ? { current: configItemOf(current) } : {}) })
}

const isRecordAccepted = ({ records, change }: ApplyOptions, recordId: string): boolean => {
  const item = change.name as ItemName
  const { items, history } = records.state()
  return [items.get(item), ...(history.get(item) ?? [])].some(version => version?.recordId === recordId)
}

const resolveOutcome = (options: ApplyOptions, recordId: string, outcome: FoldOutcome): ApplyOutcome => {
  if (outcome.applied) return outcomeOf(options, true, '')
  // The change was resent under the same record id: its first record was accepted, so the second one is stale.
  if (isRecordAccepted(options, recordId)) return outcomeOf(options, true, 'was accepted before')
  return outcomeOf(options, false, outcome.reason)
}

/**
 * Applies one change by compare-and-set. The outcome is returned only after the record was read back
 * from the log, so the order of the log decides between concurrent changes and the response to the
 * rejected change contains the accepted one.
 */
export const applyItem = (options: ApplyOptions): EitherAsync<Fault, ApplyOutcome> => {
  const { records, operatorName, changeId, change } = options
  const error = checkBody(change)
  if (error) return EitherAsync.liftEither(Right(outcomeOf(options, false, error)))
  const recordId = `${operatorName}/${changeId}/${change.name}`
  return records.append({
    kind: 'config.set',
    item: change.name as ItemName,
    expectedVersion: Number(change.expectedVersion),
    bodyJson: change.retire ? '' : change.bodyJson,
    operatorName,
    ...(changeId === '' ? {} : { recordId })
  }).map(({ outcome }) => resolveOutcome(options, recordId, outcome))
}
