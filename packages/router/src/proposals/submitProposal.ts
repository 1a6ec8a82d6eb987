import { match } from 'ts-pattern'

import { RouterEvent } from '../events.js'

import type { EventFields, EventLog } from '@figmount/base'
import type { NewRecord, RecordsClient } from '@figmount/records'

interface Options {
  readonly records: RecordsClient
  readonly events: EventLog
}

const fieldsOf = (record: NewRecord): EventFields => match(record)
  .returnType<EventFields>()
  .with({ kind: 'right.grant' }, ({ kind, right, instance }) =>
    ({ step: kind, model: right.target, peer: instance, ...(right.kind === 'replica' ? { slotIndex: right.slotIndex } : {}) }))
  .with({ kind: 'right.revoke' }, { kind: 'right.release' }, { kind: 'right.renew' }, ({ kind, right, fence }) =>
    ({ step: kind, model: right.target, fence }))
  .with({ kind: 'instance.void' }, ({ kind, instance }) => ({ step: kind, peer: instance }))
  .otherwise(({ kind }) => ({ step: kind }))

/** Appends a proposal to the log and emits an event with the outcome. */
export const submitProposal = async ({ records, events }: Options, record: NewRecord): Promise<void> => {
  const result = await records.append(record).run()
  const reason = result.caseOf({
    Left: fault => fault.message,
    Right: ({ outcome }) => outcome.applied ? '' : outcome.reason
  })
  const offset = result.map(placed => ({ offset: placed.offset })).toMaybe().extract()
  events.emit(reason === '' ? RouterEvent.proposalMade : RouterEvent.proposalFailed, { ...fieldsOf(record), ...offset, reason })
}
