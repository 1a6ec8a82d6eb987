import { match } from 'ts-pattern'
import { rankByRendezvous, sleep } from '@figmount/base'

import { RouterEvent } from '../events.js'

import type { EventFields, EventLog, InstanceName, TimerService } from '@figmount/base'
import type { NewRecord, RecordsClient } from '@figmount/records'
import type { Membership } from '../membership/createMembership.js'
import type { ProposeRights } from './types.js'

interface Options {
  readonly instance: InstanceName
  readonly records: RecordsClient
  readonly membership: Membership
  readonly propose: ProposeRights
  readonly timers: TimerService
  readonly events: EventLog
  readonly signal: AbortSignal
}

/** Pause between looks; a right is free for this long at most before it is granted. */
const LOOK_MS = 500
/** Records proposed at a time, a small share of the several hundred appends a second that the log takes. */
const MAX_PROPOSALS = 50
/** A router whose log has not answered for this long proposes nothing: its view may be old. */
const FRESH_MS = 5_000

const fieldsOf = (record: NewRecord): EventFields => match(record)
  .returnType<EventFields>()
  .with({ kind: 'right.grant' }, ({ kind, right, instance }) => ({ step: kind, model: right.target, peer: instance }))
  .with({ kind: 'right.revoke' }, { kind: 'right.release' }, { kind: 'right.renew' }, ({ kind, right, fence }) => ({ step: kind, model: right.target, fence }))
  .with({ kind: 'instance.void' }, ({ kind, instance }) => ({ step: kind, peer: instance }))
  .otherwise(({ kind }) => ({ step: kind }))

/** Appends a proposal and reports what became of it. */
export const submitProposal = async ({ records, events }: Pick<Options, 'records' | 'events'>, record: NewRecord): Promise<boolean> => {
  const result = await records.append(record).run()
  const reason = result.caseOf({
    Left: fault => fault.message,
    Right: ({ outcome }) => outcome.applied ? '' : outcome.reason
  })
  const offset = result.map(placed => ({ offset: placed.offset })).toMaybe().extract()
  events.emit(reason === '' ? RouterEvent.proposalMade : RouterEvent.proposalFailed, { ...fieldsOf(record), ...offset, reason })
  return reason === ''
}

/** True for the one router that proposes. Two that both believe so do no harm: the fold takes the first record. */
export const isProposer = (instance: InstanceName, routers: readonly InstanceName[]): boolean =>
  rankByRendezvous('proposer', [...new Set([...routers, instance])])[0] === instance

/** Proposes rights until `signal` aborts. */
export const runProposer = async (options: Options): Promise<void> => {
  const { instance, records, membership, propose, timers, signal } = options
  while (!signal.aborted) {
    const isFresh = records.isReady() && timers.nowMs() - records.confirmedAtMs() < FRESH_MS
    if (isFresh && isProposer(instance, membership.routers())) {
      const proposals = propose({ state: records.state(), liveAgents: membership.liveAgents(), maxCount: MAX_PROPOSALS })
      await Promise.all(proposals.map(async record => await submitProposal(options, record)))
    }
    await sleep(timers, LOOK_MS, signal)
  }
}
