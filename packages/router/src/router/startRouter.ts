import { makeAttemptId, serveRpc, sleep } from '@figmount/base'
import { acceptLinks } from '@figmount/peers'
import { createSnapshotWriter, shouldPropose } from '@figmount/records'
import { Inference, Operator } from '@figmount/schema'

import { createGate } from '../callers/createGate.js'
import { createInference } from '../callers/createInference.js'
import { RouterEvent } from '../events.js'
import { isLoadedIn } from '../routing/isLoadedIn.js'
import { createAgentLinks } from '../links/createAgentLinks.js'
import { createMembership } from '../membership/createMembership.js'
import { pollInstances } from '../membership/pollInstances.js'
import { createOperator } from '../operators/createOperator.js'
import { createExchange } from '../peers/createExchange.js'
import { createRouterPeers } from '../peers/createRouterPeers.js'
import { pickNeighbours } from '../peers/pickNeighbours.js'
import { createPlainHandler } from '../plain/createPlainHandler.js'
import { runProposer } from '../proposals/runProposer.js'
import { createCallerShares } from '../retries/createCallerShares.js'
import { createRefusalLog } from '../retries/createRefusalLog.js'
import { createRetryBudgets } from '../retries/createRetryBudgets.js'
import { createEstimates } from '../routing/createEstimates.js'
import { createPrefixMap } from '../routing/createPrefixMap.js'
import { createSendLog } from '../routing/createSendLog.js'
import { createSuspects } from '../suspects/createSuspects.js'
import { watchAbsentEngines } from '../voids/watchAbsentEngines.js'
import { createDials } from './createDials.js'
import { createStatusSources } from './createStatusSources.js'
import { runInBackground } from './runInBackground.js'
import { stopRouter } from './stopRouter.js'

import type { DataCentre, ModelId, RunningProcess } from '@figmount/base'
import type { BetweenRouters, LinkContext } from '@figmount/peers'
import type { ServeContext } from '../requests/types.js'
import type { RoutingSources } from '../routing/types.js'
import type { RouterParts } from './types.js'

/** Largest RPC message: a prompt and some room for the rest. */
const messageBytes = (promptBytes: number): number => promptBytes * 2 + 64 * 1024

/** Name under which the router that writes snapshots is chosen. */
const SNAPSHOTS = 'snapshots'

/** Connections that are still busy this long after the last request has ended are closed. */
const CLOSE_WAIT_MS = 500

/** Puts a router together and starts it. */
export const startRouter = async (parts: RouterParts): Promise<RunningProcess> => {
  const { settings, instance, incarnation, records, timers, events, metrics, random } = parts
  const stopping = new AbortController()
  const gate = createGate(timers, settings.limits.admitted_count)
  const membership = createMembership(records.state)
  const suspects = createSuspects({ state: records.state, unixMs: timers.unixMs })
  const prefixes = createPrefixMap()
  const sends = createSendLog()
  let isDraining = false
  let attemptCount = 0

  const linkContext: LinkContext = {
    instance,
    sharedKey: settings.trust.shared_key,
    timers,
    events,
    offset: () => records.state().nextOffset,
    onPeerOffset: () => {}
  }
  const dials = createDials(linkContext, membership, (link, offset) => exchange.hearOffset(offset, link.send))
  const links = createAgentLinks({
    router: instance,
    routerIncarnation: incarnation,
    dial: dials.dialAgent,
    hooks: {
      onOffset: (agent, offset) => exchange.hearOffset(offset, message => links.linkTo(agent).send(message)),
      onShared: (agent, message) => exchange.take(agent, message, reply => links.linkTo(agent).send(reply))
    },
    timers,
    events,
    random
  })
  const peers = createRouterPeers({
    instance,
    incarnation,
    dial: dials.dialRouter,
    ownOffset: () => records.state().nextOffset,
    isDraining: () => isDraining,
    agentOffsets: () => new Map(links.views().filter(view => view.isOpen).map(view => [view.instance, view.appliedOffset])),
    onShared: (peer, message, link) => exchange.take(peer, message, link.send),
    timers,
    events
  })
  const exchange = createExchange({
    records,
    suspects,
    timers,
    events,
    spread: (suspicion, from) => {
      const message = { type: 'suspect', ...suspicion } as const
      peers.broadcast(message, from)
      for (const view of links.views()) {
        if (view.isOpen && view.instance !== from) links.linkTo(view.instance).send(message)
      }
    },
    onLeaving: peer => events.emit(RouterEvent.peerLeaving, { peer })
  })

  const sourcesFor = (model: ModelId, prefixHint: string): RoutingSources => {
    const prefixHolder = prefixes.holderOf(model, prefixHint)
    return {
      agents: records.state().agents,
      list: membership.list(),
      viewOf: links.viewOf,
      unreportedSeconds: sends.unreportedSeconds,
      hasPrefix: agent => agent === prefixHolder,
      ownDataCentre: settings.process.data_centre as DataCentre,
      nowMs: timers.nowMs()
    }
  }
  const context: ServeContext = {
    instance,
    records,
    links,
    sourcesFor,
    sends,
    prefixes,
    estimates: createEstimates(),
    suspects,
    refusals: createRefusalLog(),
    budgets: createRetryBudgets(),
    shares: createCallerShares(settings.limits.admitted_count),
    chooseBackend: parts.chooseBackend,
    chooseRetryAfter: parts.chooseRetryAfter,
    newAttemptId: () => makeAttemptId(instance, incarnation, attemptCount++),
    random,
    timers,
    events,
    metrics
  }

  const { limits } = settings
  const status = createStatusSources({ parts, membership, links, peers, gate, isStopping: () => isDraining })
  const server = await serveRpc({
    host: settings.process.host,
    port: settings.process.port,
    routes: router => {
      router.service(Inference, createInference({ context, gate, limits }))
      router.service(Operator, createOperator({ records, events, timers, operatorKeys: settings.trust.operator_keys, status, stopping: stopping.signal }))
    },
    metrics,
    handlePlain: createPlainHandler({ context, gate, limits }),
    maxMessageBytes: messageBytes(limits.prompt_bytes)
  })
  acceptLinks<BetweenRouters, BetweenRouters>(server.server, {
    ...linkContext,
    onPeerOffset: (peer, offset) => exchange.hearOffset(offset, message => peers.sendTo(peer, message))
  }, peers.accept)
  metrics.gauge('requests_running', gate.count)
  metrics.gauge('agent_links_open', () => links.views().filter(view => view.isOpen).length)

  const unsubscribe = records.onChange(changed => {
    for (const { record } of changed) {
      if (record.kind === 'suspect.clear') suspects.clear(record.fingerprint)
    }
    peers.announce()
  })
  runInBackground(events, 'membership.poll', pollInstances({
    read: parts.readInstances,
    timers,
    events,
    signal: stopping.signal,
    onRead: list => {
      membership.takeList(list)
      peers.setNeighbours(pickNeighbours(instance, membership.routers()))
    }
  }))
  const absentEngines = watchAbsentEngines({
    instance, records, membership, links, openEngine: parts.openAbsentEngine, timers, events, signal: stopping.signal
  })
  runInBackground(events, 'voids.run', absentEngines.run())
  runInBackground(events, 'proposals.run', runProposer({
    instance,
    records,
    membership,
    proposeRights: parts.proposeRights,
    engineOf: absentEngines.reachOf,
    isLoaded: (agent, target) => isLoadedIn(links.viewOf(agent)?.report, target),
    timers,
    events,
    signal: stopping.signal
  }))
  const stopSnapshots = createSnapshotWriter({
    client: records,
    timers,
    events,
    isMyTurn: () => shouldPropose(SNAPSHOTS, [...new Set([...membership.routers(), instance])], instance, timers.unixMs()),
    periodMs: settings.records.snapshot_period_ms
  })

  return {
    address: server.address,
    stop: async () => {
      isDraining = true
      await stopRouter({
        settings: settings.stop,
        gate,
        timers,
        events,
        announce: () => {
          peers.broadcast({ type: 'leaving', instance })
          peers.announce()
        }
      })
      stopping.abort()
      stopSnapshots()
      unsubscribe()
      links.stop()
      peers.stop()
      records.stop()
      await Promise.race([server.close(), sleep(timers, CLOSE_WAIT_MS)])
      server.server.closeAllConnections()
    }
  }
}
