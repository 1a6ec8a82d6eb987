import { match } from 'ts-pattern'
import { runInBackground, sleep } from '@figmount/base'
import { HEARTBEAT_MS } from '@figmount/peers'

import { RouterEvent } from '../events.js'
import { receiveSafely } from '../links/receiveSafely.js'
import { ANNOUNCE_GATHER_MS, REDIAL_MS } from './constants.js'

import type { EitherAsync } from 'purify-ts'
import type { EventLog, Fault, Incarnation, InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { BetweenRouters, Link, RouterDigest } from '@figmount/peers'
import type { PeerView, SharedMessage } from './types.js'

export type RouterLink = Link<BetweenRouters, BetweenRouters>

interface Options {
  readonly instance: InstanceName
  readonly incarnation: Incarnation
  readonly dial: (instance: InstanceName) => EitherAsync<Fault, RouterLink>
  readonly ownOffset: () => LogOffset
  readonly isDraining: () => boolean
  readonly canPropose: () => boolean
  /** Offsets at the agents that this router has a link to. */
  readonly agentOffsets: () => ReadonlyMap<InstanceName, LogOffset>
  readonly onShared: (peer: string, message: SharedMessage, link: RouterLink) => void
  readonly timers: TimerService
  readonly events: EventLog
}

/** The links between this router and others. */
export interface RouterPeers {
  /** Dials these and no others; links that others have dialled stay. */
  readonly setNeighbours: (neighbours: readonly InstanceName[]) => void
  /** Runs a link that another router has dialled. */
  readonly accept: (link: RouterLink) => Promise<void>
  readonly broadcast: (message: BetweenRouters, except?: string) => void
  /** Sends on a link to the named router, if one is open. */
  readonly sendTo: (peer: string, message: BetweenRouters) => void
  /** Tells neighbours within ANNOUNCE_GATHER_MS that the own offset has moved. */
  readonly announce: () => void
  readonly views: () => ReadonlyMap<InstanceName, PeerView>
  /** Neighbours that are known to propose nothing now: they cannot be dialled, or say so themselves. */
  readonly cannotPropose: (peer: InstanceName) => boolean
  readonly stop: () => void
}

/** Makes the links to other routers: one task for each. */
export const createRouterPeers = (options: Options): RouterPeers => {
  const { timers, events } = options
  const links = new Map<RouterLink, Map<InstanceName, LogOffset>>()
  const views = new Map<InstanceName, PeerView>()
  let neighbours: ReadonlySet<InstanceName> = new Set()
  const dialling = new Set<InstanceName>()
  const unreachable = new Set<InstanceName>()
  let isStopped = false
  let isAnnouncing = false

  // Only agents whose offset has moved since the last heartbeat on this link, so that an idle
  // system's heartbeat stays small however many agents there are.
  const digestFor = (link: RouterLink): RouterDigest => {
    const told = links.get(link) ?? new Map<InstanceName, LogOffset>()
    const moved = [...options.agentOffsets()].filter(([agent, offset]) => told.get(agent) !== offset)
    for (const [agent, offset] of moved) told.set(agent, offset)
    return { instance: options.instance, appliedOffset: options.ownOffset(), agents: moved, draining: options.isDraining(), canPropose: options.canPropose() }
  }

  const takeDigest = (digest: RouterDigest): void => {
    const known = views.get(digest.instance)
    const appliedOffset = Math.max(known?.appliedOffset ?? 0, digest.appliedOffset) as LogOffset
    const agentOffsets = new Map([...(known?.agentOffsets ?? []), ...digest.agents])
    views.set(digest.instance, { instance: digest.instance, appliedOffset, draining: digest.draining, canPropose: digest.canPropose ?? true, agentOffsets })
  }

  const beat = (link: RouterLink): void => link.send({ type: 'heartbeat', sentAtMs: timers.nowMs(), digest: digestFor(link) })

  const handle = (link: RouterLink, message: BetweenRouters): void => match(message)
    .with({ type: 'hello' }, ({ instance }) => events.emit(RouterEvent.peerReached, { peer: instance }))
    .with({ type: 'heartbeat' }, ({ sentAtMs, digest }) => {
      takeDigest(digest)
      link.send({ type: 'heartbeat.ack', sentAtMs, digest: digestFor(link) })
    })
    .with({ type: 'heartbeat.ack' }, ({ digest }) => takeDigest(digest))
    .with({ type: 'records' }, { type: 'records.ask' }, { type: 'suspect' }, { type: 'leaving' }, shared =>
      options.onShared(link.peer, shared, link))
    .exhaustive()

  const runLink = async (link: RouterLink, isDialler: boolean): Promise<void> => {
    links.set(link, new Map())
    if (isDialler) {
      link.send({ type: 'hello', instance: options.instance, incarnation: options.incarnation, role: 'router' })
      beat(link)
    }
    const stopBeating = isDialler ? timers.every(HEARTBEAT_MS, () => beat(link)) : () => {}
    for await (const message of link.received) receiveSafely(events, link.peer, message, taken => handle(link, taken))
    stopBeating()
    links.delete(link)
  }

  const isWanted = (peer: InstanceName): boolean => !isStopped && neighbours.has(peer)

  const runNeighbour = async (peer: InstanceName): Promise<void> => {
    dialling.add(peer)
    while (isWanted(peer)) {
      const dialled = await options.dial(peer).run()
      if (dialled.isLeft()) unreachable.add(peer)
      else {
        unreachable.delete(peer)
        await runLink(dialled.unsafeCoerce(), true)
      }
      await sleep(timers, REDIAL_MS)
    }
    dialling.delete(peer)
    unreachable.delete(peer)
  }

  return {
    setNeighbours: wanted => {
      neighbours = new Set(wanted)
      for (const peer of wanted) {
        if (!dialling.has(peer)) runInBackground(events, 'peers.run', runNeighbour(peer))
      }
    },
    accept: async link => await runLink(link, false),
    broadcast: (message, except) => {
      for (const link of links.keys()) {
        if (link.peer !== except) link.send(message)
      }
    },
    sendTo: (peer, message) => {
      for (const link of links.keys()) {
        if (link.peer === peer) return link.send(message)
      }
    },
    announce: () => {
      if (isAnnouncing) return
      isAnnouncing = true
      timers.after(ANNOUNCE_GATHER_MS, () => {
        isAnnouncing = false
        for (const link of links.keys()) beat(link)
      })
    },
    views: () => views,
    cannotPropose: peer => unreachable.has(peer) || views.get(peer)?.canPropose === false,
    stop: () => {
      isStopped = true
      for (const link of links.keys()) link.close('router stops')
    }
  }
}
