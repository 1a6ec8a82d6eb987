import { randomUUID } from 'node:crypto'
import { countMessages, createReadBarrier } from '@figmount/base'
import { planFetch } from '@figmount/decisions'
import { createCopyFetch, createCopySource } from '@figmount/fleet'

import { createDemandTotals } from '../demand/createDemandTotals.js'
import { createOrderer } from '../engine/createOrderer.js'
import { hasRestarted } from '../engine/hasRestarted.js'
import { watchEngine } from '../engine/watchEngine.js'
import { SidecarEvent } from '../events.js'
import { STATE_PERIOD_MS } from '../links/constants.js'
import { serveRouters } from '../links/serveRouters.js'
import { createLimiters } from '../limits/createLimiters.js'
import { createOriginMemory } from '../origins/createOriginMemory.js'
import { createLoadLeases } from '../leases/createLoadLeases.js'
import { createWantRegistry } from '../wants/createWantRegistry.js'
import { COLD_SPACING_MS } from './constants.js'
import { createIdentity } from './createIdentity.js'
import { describeEngine, describeEngineLoad } from './describeEngine.js'
import { followDeployment } from './followDeployment.js'

import type { InstanceName, ProcessContext, RunningProcess } from '@figmount/base'
import type { RateLimit } from '@figmount/decisions'
import type { AgentState, AgentStorePort, EnginePort, Organisations, Service, ServerReport, Want } from '@figmount/fleet'
import type { Settle } from '../wants/createWantRegistry.js'

/** Options of an agent on the HTTP path. */
export interface SidecarOptions {
  readonly context: ProcessContext<unknown>
  readonly instance: InstanceName
  readonly host: string
  /** Port on which the agent accepts links from routers. */
  readonly port: number
  readonly sharedKey: string
  /** Service of the engine beside the agent. */
  readonly serviceName: string
  readonly isFirstStart: boolean
  readonly engine: EnginePort
  readonly store: AgentStorePort
}

const limitOf = (organisations: Organisations | undefined, name: string): RateLimit | undefined => {
  const limit = organisations?.all.find(organisation => organisation.name === name)?.limit
  return limit && { unitsPerS: limit.unitsPerS, burstUnits: limit.burstUnits }
}

const RESTARTED = 'the engine has restarted'

/** Starts an agent: it polls one engine, orders loads and unloads, and sends the engine's state to routers. */
export const startSidecar = async (options: SidecarOptions): Promise<RunningProcess> => {
  const { timers, events, metrics } = options.context
  const demand = createDemandTotals(timers)
  const wants = createWantRegistry(timers)
  const deployments = followDeployment({ store: options.store, timers, events })
  const copySource = createCopySource(deployments.copy)
  const copyFetch = createCopyFetch({
    timers,
    ownVersion: deployments.version,
    readsStore: () => true,
    readQuietMs: deployments.quietMs,
    readAgain: deployments.readAgain,
    plan: planFetch,
    ask: (router, asked) => { links.send(router, asked) },
    take: deployments.take
  })
  const limiters = createLimiters({
    timers,
    limitOf: name => limitOf(deployments.current()?.organisations, name),
    isFirstStart: options.isFirstStart
  })
  let isUp = false
  let hasEngineResult = false
  let lastReviewMs = -Infinity
  let lastReport: ServerReport | undefined

  const service = (): Service | undefined => deployments.current()?.services.find(({ name }) => name === options.serviceName)

  const identity = createIdentity({
    engine: options.engine,
    timers,
    events,
    healthPath: () => service()?.healthPath,
    changed: () => { links.sendUpdate() }
  })

  const leases = createLoadLeases({
    feed: options.store.leaseFeed,
    instance: options.instance,
    timers,
    events,
    isFirstStart: options.isFirstStart,
    onRestored: options.store.onRestored,
    makeId: randomUUID,
    changed: () => { reviewAndSendState() }
  })

  const orderer = createOrderer({
    engine: options.engine,
    timers,
    reads: createReadBarrier(timers),
    events,
    demand,
    wants,
    leases,
    spec: () => service()?.engine,
    serverId: () => identity.current().serverId,
    noteOtherServer: () => { identity.drop('an order was turned away') },
    coldSpacingMs: COLD_SPACING_MS,
    isFirstStart: options.isFirstStart,
    changed: () => { links.sendUpdate() },
    pollNow: () => { watch.pollNow() }
  })

  const isHeld = (modelName: string, adapterName: string): boolean => {
    const model = orderer.report()?.models.find(held => held.name === modelName)
    if (!model || orderer.leavingModels().includes(modelName)) return false
    return adapterName === '' || model.adapters.includes(adapterName)
  }

  const reviewOrders = (): void => {
    wants.review(isHeld)
    orderer.review()
  }

  const reviewAndSendState = (): void => {
    reviewOrders()
    links.sendUpdate()
    lastReviewMs = timers.nowMs()
  }

  // While the engine answers, each of its reports causes a review, about as often as this timer fires.
  const reviewIfOverdue = (): void => {
    if (timers.nowMs() - lastReviewMs >= STATE_PERIOD_MS / 2) reviewAndSendState()
  }

  // Guards against a restart between two reports: under the same id and with the same order count the engine looks unchanged,
  // and the agent would go on to report the models and the load of the earlier start.
  const noteRestart = (): void => {
    events.emit(SidecarEvent.engineRestarted, { peer: identity.current().serverId })
    orderer.noteRestart()
    identity.drop(RESTARTED)
    wants.failAll(RESTARTED)
    links.sendUpdate()
  }

  const takeReport = (report: ServerReport): void => {
    if (lastReport && hasRestarted(lastReport, report)) noteRestart()
    lastReport = report
    if (!isUp) events.emit(SidecarEvent.engineUp, { peer: identity.current().serverId })
    if (report.isDraining && !orderer.report()?.isDraining) events.emit(SidecarEvent.engineDraining, { peer: identity.current().serverId })
    isUp = true
    hasEngineResult = true
    identity.identify(report.startedAtUnixMs)
    orderer.take(report)
    reviewAndSendState()
  }

  const noteDown = (reason: string): void => {
    if (isUp) events.emit(SidecarEvent.engineDown, { peer: identity.current().serverId, reason })
    isUp = false
    hasEngineResult = true
    identity.drop(reason)
    orderer.reset()
    wants.failAll('engine is down')
    links.sendUpdate()
  }

  const isGone = (serverId: string): boolean =>
    serverId !== identity.current().serverId && identity.gone().some(start => start.serverId === serverId)

  const takeWant = (router: string, want: Want, settle: Settle): void => {
    events.emit(SidecarEvent.wantTaken, { peer: router, model: want.modelName, adapter: want.adapterName ?? '', count: want.waitingCount })
    metrics.count('wants_total')
    if (isGone(want.serverId)) return settle(want.wantId, { isReady: false, isLost: true, reason: RESTARTED })
    if (!isUp) return settle(want.wantId, { isReady: false, isLost: true, reason: 'engine is down' })
    const takenMs = timers.nowMs()
    wants.add(router, want, (wantId, outcome) => {
      const kind = outcome.isReady ? SidecarEvent.wantMet : SidecarEvent.wantGivenUp
      events.emit(kind, { peer: router, model: want.modelName, adapter: want.adapterName ?? '', reason: outcome.reason, waitMs: Math.round(timers.nowMs() - takenMs) })
      settle(wantId, outcome)
    })
    // Reviews orders without sending the state: routers see the want in the next state update, and a load for it when it is ordered.
    reviewOrders()
  }

  // Guards against reporting the engine as down before its first answer: an agent that has just restarted would do so, and routers
  // would cut the streams that run there.
  const describeIfKnown = (routerCount: number): AgentState | undefined => hasEngineResult
    ? describeEngine({ timers, spec: service()?.engine, isUp, identity, orderer, demand, wants, deploymentVersion: deployments.version(), followsDeployments: deployments.isFollowing(), routerCount })
    : undefined

  const links = serveRouters({
    instance: options.instance,
    host: options.host,
    port: options.port,
    sharedKey: options.sharedKey,
    timers,
    events,
    connections: options.context.connections,
    ...(options.context.stopSignal ? { stopSignal: options.context.stopSignal } : {}),
    noteSent: countMessages(metrics),
    describe: describeIfKnown,
    describeLoad: () => describeEngineLoad(orderer),
    hasReplicaElsewhere: () => orderer.report()?.models.some(({ name }) => demand.replicaCount(name) > 1) ?? false,
    takeWant,
    dropWant: wants.drop,
    dropRouter: router => {
      wants.dropRouter(router)
      demand.dropRouter(router)
      limiters.dropRouter(router)
      copyFetch.losePeer(router)
    },
    limiters,
    origins: createOriginMemory(timers),
    takeDemand: demand.take,
    pieceOf: copySource.pieceOf,
    noteHeld: copyFetch.noteOffer,
    takePiece: copyFetch.takePiece
  })

  const watch = watchEngine({
    engine: options.engine,
    timers,
    events,
    nextPollMs: orderer.nextPollMs,
    take: takeReport,
    down: fault => { noteDown(fault.message) }
  })
  const stopReviewTimer = timers.every(STATE_PERIOD_MS, reviewIfOverdue)

  await links.listening

  return {
    address: `${options.host}:${options.port}`,
    stop: async () => {
      stopReviewTimer()
      watch.stop()
      deployments.stop()
      leases.stop()
      wants.failAll('the agent stops')
      links.close()
    }
  }
}
