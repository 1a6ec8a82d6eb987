import { sleep } from '@figmount/base'
import { proposeVoids, shouldPropose } from '@figmount/records'

import { createMailbox } from '../answers/createMailbox.js'
import { isLogFresh } from './isLogFresh.js'
import { submitProposal } from './submitProposal.js'

import type { EventLog, InstanceName, TimerService } from '@figmount/base'
import type { EngineReach, MoveFacts, NewRecord, RecordsClient } from '@figmount/records'
import type { Membership } from '../membership/createMembership.js'
import type { ProposeRights } from './types.js'

interface Options {
  readonly instance: InstanceName
  readonly records: RecordsClient
  readonly membership: Membership
  /** Routers among which the turn to propose is drawn. */
  readonly proposers: () => readonly InstanceName[]
  readonly proposeRights: ProposeRights
  /** What the engines of instances that are off the list have last said. */
  readonly engineOf: (instance: InstanceName) => EngineReach
  /** Whether an agent has told that it takes no new work. */
  readonly isStopping: (instance: InstanceName) => boolean
  /** Whether an agent has last reported a model as loaded or loading. */
  readonly isLoaded: MoveFacts['isLoaded']
  readonly timers: TimerService
  readonly events: EventLog
  readonly signal: AbortSignal
}

/** Longest pause between rounds; shorter when something has changed. */
const ROUND_MS = 500
/** Changes that come within this time are answered by one round. */
const GATHER_MS = 25

const findProposals = ({ instance, records, membership, proposers, proposeRights, engineOf, isStopping, isLoaded, timers }: Options): readonly NewRecord[] => {
  const routers = proposers()
  const mayPropose = (target: string): boolean => shouldPropose(target, routers, instance, timers.unixMs())
  const state = records.state()
  const instances = [...membership.list().instances.values()].map(entry => ({ ...entry, stopping: isStopping(entry.name) }))
  return [
    ...proposeVoids(state, membership.absences(), { mayPropose, engineOf }),
    ...proposeRights(state, instances, { mayPropose, isLoaded }, timers.unixMs())
  ]
}

/** Proposes rights and voids in rounds until `signal` aborts; a round waits until its records were read back. */
export const runProposer = async (options: Options): Promise<void> => {
  const { records, timers, signal } = options
  const changes = createMailbox<true>(timers, 1)
  const unsubscribe = records.onChange(() => { changes.push(true) })
  while (!signal.aborted) {
    const proposals = isLogFresh(records, timers) ? findProposals(options) : []
    await Promise.all(proposals.map(async record => await submitProposal(options, record)))
    if (await changes.take(ROUND_MS, signal)) await sleep(timers, GATHER_MS, signal)
  }
  unsubscribe()
}
