import { match } from 'ts-pattern'
import { runInBackground, sleep } from '@figmount/base'
import { HEARTBEAT_MS } from '@figmount/peers'

import { RouterEvent } from '../events.js'
import { receiveSafely } from '../links/receiveSafely.js'
import { ANNOUNCE_DELAY_MS, REDIAL_MS } from './constants.js'

import type { EitherAsync } from 'purify-ts'
import type { EventLog, Fault, Incarnation, InstanceName, LogOffset, TimerService } from '@figmount/base'
import type { RouterToRouterMessage, Link, RouterDigest } from '@figmount/peers'
import type { PeerView, SharedMessage } from './types.js'

export type RouterLink = Link<RouterToRouterMessage, RouterToRouterMessage>

interface Options {
  readonly instance: InstanceName
  readonly incarnation: Incarnation
  readonly dial: (instance: InstanceName) => EitherAsync<Fault, RouterLink>
  readonly ownOffset: () => LogOffset
  readonly isDraining: () => boolean
  readonly canPropose: () => boolean
  /** Log offsets of the agents that this router has an open link to. */
  readonly agentOffsets: () => ReadonlyMap<InstanceName, LogOffset>
  readonly onShared: (peer: string, message: SharedMessage, link: RouterLink) => void
  readonly timers: TimerService
  readonly events: EventLog
}

/** The links between this router and other routers. */
export interface RouterPeers {
  /** Sets the routers to dial. Links dialled by other routers are not affected. */
  readonly setNeighbours: (neighbours: readonly InstanceName[]) => void
  /** Runs a link dialled by another router. */
  readonly accept: (link: RouterLink) => Promise<void>
  readonly broadcast: (message: RouterToRouterMessage, except?: string) => void
  /** Sends on a link to the named router, if one is open. */
  readonly sendTo: (peer: string, message: RouterToRouterMessage) => void
  /** Announces a change of the own offset to neighbours within ANNOUNCE_DELAY_MS. */
  readonly announce: () => void
  readonly views: () => ReadonlyMap<InstanceName, PeerView>
  /** True for a neighbour that cannot be dialled or has reported that it cannot make proposals. */
  readonly cannotPropose: (peer: InstanceName) => boolean
  readonly stop: () => void
}

/** Creates the links to other routers, with one task per neighbour. */
export const createRouterPeers = (options: Options): RouterPeers => {
  const { timers, events } = options
  const links = new Map<RouterLink, Map<InstanceName, LogOffset>>()
  const views = new Map<InstanceName, PeerView>()
  let neighbours: ReadonlySet<InstanceName> = new Set()
  const dialling = new Set<InstanceName>()
  const unreachable = new Set<InstanceName>()
  let isStopped = false
  let isAnnouncing = false

  // Contains only agents whose offset has changed since the last heartbeat on this link, so that heartbeats of an
  // idle system stay small for any number of agents.
  const digestFor = (link: RouterLink): RouterDigest => {
    const sentOffsets = links.get(link) ?? new Map<InstanceName, LogOffset>()
    const moved = [...options.agentOffsets()].filter(([agent, offset]) => sentOffsets.get(agent) !== offset)
    for (const [agent, offset] of moved) sentOffsets.set(agent, offset)
    return { instance: options.instance, appliedOffset: options.ownOffset(), agents: moved, draining: options.isDraining(), canPropose: options.canPropose() }
  }

  const applyDigest = (digest: RouterDigest): void => {
    const known = views.get(digest.instance)
    const appliedOffset = Math.max(known?.appliedOffset ?? 0, digest.appliedOffset) as LogOffset
    const agentOffsets = new Map([...(known?.agentOffsets ?? []), ...digest.agents])
    views.set(digest.instance, { instance: digest.instance, appliedOffset, draining: digest.draining, canPropose: digest.canPropose ?? true, agentOffsets })
  }

  const sendHeartbeat = (link: RouterLink): void => link.send({ type: 'heartbeat', sentAtMs: timers.nowMs(), digest: digestFor(link) })

  const handle = (link: RouterLink, message: RouterToRouterMessage): void => match(message)
    .with({ type: 'hello' }, ({ instance }) => events.emit(RouterEvent.peerReached, { peer: instance }))
    .with({ type: 'heartbeat' }, ({ sentAtMs, digest }) => {
      applyDigest(digest)
      link.send({ type: 'heartbeat.ack', sentAtMs, digest: digestFor(link) })
    })
    .with({ type: 'heartbeat.ack' }, ({ digest }) => applyDigest(digest))
    .with({ type: 'records' }, { type: 'records.ask' }, { type: 'suspect' }, { type: 'leaving' }, shared =>
      options.onShared(link.peer, shared, link))
    .exhaustive()

  const runLink = async (link: RouterLink, isDialler: boolean): Promise<void> => {
    links.set(link, new Map())
    if (isDialler) {
      link.send({ type: 'hello', instance: options.instance, incarnation: options.incarnation, role: 'router' })
      sendHeartbeat(link)
    }
    const stopHeartbeats = isDialler ? timers.every(HEARTBEAT_MS, () => sendHeartbeat(link)) : () => {}
    for await (const message of link.received) receiveSafely(events, link.peer, message, taken => handle(link, taken))
    stopHeartbeats()
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
      timers.after(ANNOUNCE_DELAY_MS, () => {
        isAnnouncing = false
        for (const link of links.keys()) sendHeartbeat(link)
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
