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

/** A version of an item as operators see it. */
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

const isOwn = ({ records, change }: ApplyOptions, recordId: string): boolean => {
  const item = change.name as ItemName
  const { items, history } = records.state()
  return [items.get(item), ...(history.get(item) ?? [])].some(version => version?.recordId === recordId)
}

const judge = (options: ApplyOptions, recordId: string, outcome: FoldOutcome): ApplyOutcome => {
  if (outcome.applied) return outcomeOf(options, true, '')
  // The same change resent: the first record of the two was accepted, the second is stale.
  if (isOwn(options, recordId)) return outcomeOf(options, true, 'was accepted before')
  return outcomeOf(options, false, outcome.reason)
}

/**
 * Applies one change by compare-and-set. The outcome is told only after the record was read
 * back, so it is the log's order that decides a race and the loser sees the winner.
 */
export const applyItem = (options: ApplyOptions): EitherAsync<Fault, ApplyOutcome> => {
  const { records, operatorName, changeId, change } = options
  const mistake = checkBody(change)
  if (mistake) return EitherAsync.liftEither(Right(outcomeOf(options, false, mistake)))
  const recordId = `${operatorName}/${changeId}/${change.name}`
  return records.append({
    kind: 'config.set',
    item: change.name as ItemName,
    expectedVersion: Number(change.expectedVersion),
    bodyJson: change.retire ? '' : change.bodyJson,
    operatorName,
    ...(changeId === '' ? {} : { recordId })
  }).map(({ outcome }) => judge(options, recordId, outcome))
}
