import { runInBackground } from '@figmount/base'
import { createSnapshotWriter, shouldPropose } from '@figmount/records'

import { pollInstances } from '../membership/pollInstances.js'
import { pickNeighbours } from '../peers/pickNeighbours.js'
import { createProposerList } from '../proposals/createProposerList.js'
import { runProposer } from '../proposals/runProposer.js'
import { isModelLoaded } from '../routing/isModelLoaded.js'
import { watchAbsentEngines } from '../voids/watchAbsentEngines.js'

import type { InstanceName, Unsubscribe } from '@figmount/base'
import type { Membership } from '../membership/createMembership.js'
import type { Suspects } from '../suspects/types.js'
import type { Network } from './createNetwork.js'
import type { RouterParts } from './types.js'

interface Options {
  readonly parts: RouterParts
  readonly membership: Membership
  readonly network: Network
  readonly suspects: Suspects
}

/** Target name in the ranking that selects the router that writes snapshots. */
const SNAPSHOT_TARGET = 'snapshots'

const proposersOf = ({ parts, membership, network }: Options): (() => readonly InstanceName[]) =>
  createProposerList({ own: parts.instance, listed: membership.routers, cannotPropose: network.peers.cannotPropose })

const subscribeToRecords = ({ parts, network, suspects }: Options): Unsubscribe => parts.records.onChange(changed => {
  for (const { record } of changed) {
    if (record.kind === 'suspect.clear') suspects.clear(record.fingerprint)
  }
  network.peers.announce()
})

const startListPolling = ({ parts, membership, network }: Options, signal: AbortSignal): void => {
  const { instance, timers, events } = parts
  runInBackground(events, 'membership.poll', pollInstances({
    read: parts.readInstances,
    timers,
    events,
    signal,
    onRead: list => {
      membership.updateList(list)
      network.peers.setNeighbours(pickNeighbours(instance, membership.routers()))
    }
  }))
}

const startProposals = (options: Options, signal: AbortSignal): void => {
  const { parts, membership, network: { links } } = options
  const proposers = proposersOf(options)
  const { instance, records, timers, events } = parts
  const absentEngines = watchAbsentEngines({
    instance, records, membership, links, proposers, openEngine: parts.openAbsentEngine, timers, events, signal
  })
  runInBackground(events, 'voids.run', absentEngines.run())
  runInBackground(events, 'proposals.run', runProposer({
    instance,
    records,
    membership,
    proposers,
    proposeRights: parts.proposeRights,
    engineOf: absentEngines.reachOf,
    isStopping: agent => timers.nowMs() < (links.viewOf(agent)?.leavingUntilMs ?? -Infinity),
    isLoaded: (agent, target) => isModelLoaded(links.viewOf(agent)?.report, target),
    timers,
    events,
    signal
  }))
}

const startSnapshotWriter = (options: Options): Unsubscribe => {
  const { parts } = options
  const proposers = proposersOf(options)
  const { settings, instance, records, timers, events } = parts
  return createSnapshotWriter({
    client: records,
    timers,
    events,
    isMyTurn: () => shouldPropose(SNAPSHOT_TARGET, proposers(), instance, timers.unixMs()),
    periodMs: settings.records.snapshot_period_ms
  })
}

/** Starts the background tasks of a router; the returned function stops them. */
export const startTasks = (options: Options): Unsubscribe => {
  const stopping = new AbortController()
  const unsubscribe = subscribeToRecords(options)
  startListPolling(options, stopping.signal)
  startProposals(options, stopping.signal)
  const stopSnapshots = startSnapshotWriter(options)
  return () => {
    stopping.abort()
    stopSnapshots()
    unsubscribe()
  }
}
