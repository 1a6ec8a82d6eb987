import { sleep } from '@figmount/base'
import { proposeVoids, shouldPropose } from '@figmount/records'

import { createMailbox } from '../answers/createMailbox.js'
import { isLogFresh } from './isLogFresh.js'
import { submitProposal } from './submitProposal.js'

import type { EventLog, InstanceName, TimerService } from '@figmount/base'
import type { EngineReachability, MoveOptions, NewRecord, RecordsClient } from '@figmount/records'
import type { Membership } from '../membership/createMembership.js'
import type { ProposeRights } from './types.js'

interface Options {
  readonly instance: InstanceName
  readonly records: RecordsClient
  readonly membership: Membership
  /** Routers that take turns in making proposals. */
  readonly proposers: () => readonly InstanceName[]
  readonly proposeRights: ProposeRights
  /** Last known reachability of the engine of an unlisted instance. */
  readonly engineOf: (instance: InstanceName) => EngineReachability
  /** True if an agent has announced that it accepts no new work. */
  readonly isStopping: (instance: InstanceName) => boolean
  /** True if an agent's last report lists a model as loaded or loading. */
  readonly isLoaded: MoveOptions['isLoaded']
  readonly timers: TimerService
  readonly events: EventLog
  readonly signal: AbortSignal
}

/** Maximum time between rounds; a change of the state starts one earlier. */
const MAX_ROUND_INTERVAL_MS = 500
/** Changes within this time are covered by one round. */
const COALESCE_MS = 25

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

/** Proposes rights and voids in rounds until `signal` aborts. A round ends when its records were read back from the log. */
export const runProposer = async (options: Options): Promise<void> => {
  const { records, timers, signal } = options
  const changes = createMailbox<true>(timers, 1)
  const unsubscribe = records.onChange(() => { changes.push(true) })
  while (!signal.aborted) {
    const proposals = isLogFresh(records, timers) ? findProposals(options) : []
    await Promise.all(proposals.map(async record => await submitProposal(options, record)))
    if (await changes.take(MAX_ROUND_INTERVAL_MS, signal)) await sleep(timers, COALESCE_MS, signal)
  }
  unsubscribe()
}
