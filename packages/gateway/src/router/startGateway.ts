import { BaseEvent, countMessages, createReadBarrier } from '@figmount/base'
import { createCrashHistory, createPartHistory, findEngine, findModel, MESSAGE_STRUCTURES } from '@figmount/fleet'
import { createMessageCodec, NO_OFFSET } from '@figmount/peers'

import { createAgentLinks } from '../agents/createAgentLinks.js'
import { PROBE_TIMEOUT_MS } from '../crashes/constants.js'
import { createBreakWatch } from '../crashes/createBreakWatch.js'
import { createCrashNotifier } from '../crashes/createCrashNotifier.js'
import { createPartGuard } from '../crashes/createPartGuard.js'
import { createPendingRuns } from '../crashes/createPendingRuns.js'
import { shareCrashes } from '../crashes/shareCrashes.js'
import { createDemandMeter } from '../demand/createDemandMeter.js'
import { createUnmetModels } from '../demand/createUnmetModels.js'
import { createDirectory } from '../directory/createDirectory.js'
import { createLifeChecks } from '../ends/createLifeChecks.js'
import { createConnectionPool } from '../forwarding/createConnectionPool.js'
import { probeServer } from '../forwarding/probeServer.js'
import { serveReadiness } from '../ingress/serveReadiness.js'
import { startIngress } from '../ingress/startIngress.js'
import { takeRequest } from '../ingress/takeRequest.js'
import { createBodyRoom } from '../memory/createBodyRoom.js'
import { createHeldBytes } from '../memory/createHeldBytes.js'
import { createQuotas } from '../limits/createQuotas.js'
import { createRouterCount } from '../limits/createRouterCount.js'
import { createStreamOrigins } from '../origins/createStreamOrigins.js'
import { createVersionRecorder } from '../origins/createVersionRecorder.js'
import { listVersions } from '../origins/listVersions.js'
import { createColdLoads } from '../placing/createColdLoads.js'
import { createOccupancyMeter } from '../placing/createOccupancyMeter.js'
import { createQueueScaler } from '../placing/createQueueScaler.js'
import { isServing } from '../placing/stateOfModel.js'
import { REPLICA_PERIOD_MS, watchReplicas } from '../placing/watchReplicas.js'
import { createRefusedWants } from '../requests/createRefusedWants.js'
import { createRetryBudget } from '../retries/createRetryBudget.js'
import { createRouterFeed } from '../routerFeed/createRouterFeed.js'
import { createServerLimits } from '../serverLimits/createServerLimits.js'
import { createStop } from '../stopping/createStop.js'
import { drain } from '../stopping/drain.js'
import { AGENT_READY_TIMEOUT_MS, COPIES_KNOWN_MS, DEMAND_PERIOD_MS, FOLLOW_PERIOD_MS } from './constants.js'
import { createDemandReporter } from './createDemandReporter.js'
import { createDeploymentCopies } from './createDeploymentCopies.js'
import { createLeavingPoll } from './createLeavingPoll.js'
import { createRouterMembership } from './createRouterMembership.js'
import { followFeeds } from './followFeeds.js'
import { joinCalls } from './joinCalls.js'
import { showGauges } from './showGauges.js'

import type { InstanceName, ProcessContext, RunningProcess } from '@figmount/base'
import type { ProbeResult, RetryLimits } from '@figmount/decisions'
import type { HeaderCodec, RouterStorePort, ServerEntry } from '@figmount/fleet'
import type { Ingress } from '../ingress/startIngress.js'
import type { GatewayContext } from '../requests/types.js'
import type { RouterNotice } from '../routerFeed/types.js'

/** Options of a router that serves callers over HTTP. */
export interface GatewayOptions {
  readonly context: ProcessContext<unknown>
  readonly instance: InstanceName
  readonly dataCentre: string
  readonly isFirstStart: boolean
  /** host:port for callers. */
  readonly callerAddress: string
  /** host:port for the balancer's readiness checks. */
  readonly readyAddress: string
  readonly agentPort: number
  /** Bandwidth of the router's own link. */
  readonly linkMbps: number
  readonly sharedKey: string
  readonly retryLimits: RetryLimits
  /** Maximum duration of a stop. */
  readonly stopMs: number
  /** Time within which the router must stop using a leaving server. */
  readonly leaveMs: number
  /** Time within which a configuration must be in force. */
  readonly applyMs: number
  readonly codec: HeaderCodec
  readonly store: RouterStorePort
  readonly random: () => number
}

/** Starts a router that serves callers' HTTP requests. */
export const startGateway = async (options: GatewayOptions): Promise<RunningProcess> => {
  const { timers, events, metrics } = options.context
  const startedMs = timers.nowMs()
  const routerStop = createStop(timers, options.stopMs)
  let limitCallers: Ingress['limit'] = () => {}

  const hasAgent = (entry: ServerEntry): boolean =>
    findEngine(feeds.deployment(), entry.serviceName) !== undefined

  /** No agent counts the routers, or passes on what they tell each other. */
  const isAgentless = (): boolean => feeds.deployment() !== undefined && directory.hasList() && !directory.entries().some(hasAgent)

  const tellRouters = (notice: RouterNotice): void => {
    if (isAgentless()) routerFeed.send(notice)
    else agents.relay(notice)
  }

  const takeNotice = (notice: RouterNotice): void => {
    if (notice.type === 'crash') shared.take(notice)
    else if (notice.type === 'serverLimit') serverLimits.takeNotice(notice)
    else directory.noteLeaving(notice.start, 'another router reports that it leaves')
  }

  const healthPathOf = ({ serviceName }: ServerEntry): string =>
    feeds.deployment()?.services.find(service => service.name === serviceName)?.healthPath ?? '/'

  const directory = createDirectory({
    timers,
    events,
    decodeServer: options.store.decodeServer,
    isServiceConfigured: name => feeds.deployment()?.services.some(service => service.name === name) ?? false,
    onEntry: () => { followSoon() }
  })
  const crashes = createCrashHistory(timers)
  const coldLoads = createColdLoads(timers, modelName => findModel(feeds.deployment(), modelName)?.coldLoadMs)
  const agents = createAgentLinks({
    agentPort: options.agentPort,
    context: {
      instance: options.instance,
      sharedKey: options.sharedKey,
      timers,
      events,
      codec: createMessageCodec(MESSAGE_STRUCTURES),
      offset: () => NO_OFFSET,
      onPeerOffset: () => {},
      noteSent: countMessages(metrics)
    },
    handlers: {
      takeState: (address, state) => {
        membership.note(state.routerCount)
        limitRouterCount.note(state.routerCount)
        coldLoads.takeState(address, state)
        directory.takeState(address, state)
        copies.takeState(address, state)
      },
      takeLoad: directory.takeLoad,
      takeDeploymentAsked: (address, asked) => {
        const piece = copies.pieceOf(asked)
        if (piece) agents.find(address)?.send(piece)
      },
      takeDeploymentPiece: (address, piece) => { copies.takePiece(address, piece) },
      takeListRead: (read, mayBeStale) => { feeds.takeListRead(read, mayBeStale) },
      takeNotice,
      takeOrigin: (address, answer) => { origins.takeAnswer(address, answer) },
      found: address => {
        shared.sendAll(address)
        const version = feeds.deploymentVersion()
        if (version >= 0) agents.find(address)?.send({ type: 'deploymentHeld', version })
      },
      takeUnits: (address, answer) => { quotas.takeAnswer(address, answer) },
      lost: address => {
        copies.lose(address)
        quotas.noteLost(address)
        origins.noteLost(address)
        coldLoads.lose(address)
        directory.loseAgent(address)
      }
    }
  })
  const feeds = followFeeds({
    store: options.store,
    timers,
    events,
    directory,
    leaveMs: options.leaveMs,
    applyMs: options.applyMs,
    deploymentTaken: deployment => { limitCallers(deployment.limits) },
    deploymentHeld: version => { agents.relay({ type: 'deploymentHeld', version }) },
    mustReadDeployments: () => copies.isReadDue(),
    storeRegained: () => { copies.noteRegained() },
    sendListRead: agents.relay,
    routerCount: () => membership.routerCount(),
    random: options.random
  })
  const copies = createDeploymentCopies({ timers, events, feeds, agents, linkMbps: options.linkMbps })
  const limitRouterCount = createRouterCount(timers)
  const routerFeed = createRouterFeed({
    feed: options.store.routerFeed,
    instance: options.instance,
    timers,
    events,
    isNeeded: isAgentless,
    onRestored: options.store.onRestored,
    counted: count => { membership.note(count) },
    takeNotice
  })
  const membership = createRouterMembership(timers, () => agents.isLinked() || routerFeed.isCounted())
  // Without agents the number that was heard of last holds, as routers that are cut off still use their parts.
  const sharingRouterCount = (): number => agents.isLinked() ? limitRouterCount.count() : membership.routerCount()
  const quotas = createQuotas({
    timers,
    events,
    organisations: () => feeds.deployment()?.organisations,
    // A router to which nobody has told their number has no part of a limit.
    routerCount: () => agents.isLinked() || membership.isKnown() ? sharingRouterCount() : Infinity,
    reachableAddresses: agents.openAddresses,
    send: (address, message) => { agents.find(address)?.send(message) }
  })
  const serverLimits = createServerLimits({
    timers,
    events,
    routerCount: sharingRouterCount,
    send: tellRouters,
    random: options.random
  })
  const origins = createStreamOrigins({
    timers,
    hasSeveralVersions: serviceName => directory.versionsOf(serviceName).size > 1,
    reachableAddresses: agents.openAddresses,
    areAgentsReachable: agents.isReady,
    send: (address, message) => { agents.find(address)?.send(message) }
  })
  const stopRecording = createVersionRecorder({
    feed: options.store.versionFeed,
    timers,
    events,
    versions: () => listVersions(directory, timers),
    takeRecorded: directory.takeVersions,
    routerCount: membership.routerCount,
    onRestored: options.store.onRestored,
    random: options.random
  })
  const refusedWants = createRefusedWants(events, (serviceName, address) => isServing(directory, serviceName, address))
  // A crash is kept by the few agents that were told of it; what disproves it must reach each of them.
  const crashNotifier = createCrashNotifier(timers, notice => {
    if (isAgentless() || notice.answered.length + notice.partProofs.length === 0) tellRouters(notice)
    else agents.sendToAll(notice)
  })
  const partGuard = createPartGuard({ timers, events, history: createPartHistory(timers), crashNotifier })
  const shared = shareCrashes({ events, crashes, crashNotifier, partGuard, send: (address, notice) => { agents.find(address)?.send(notice) } })
  const probe = async (entry: ServerEntry): Promise<ProbeResult> => await probeServer({ timers, codec: options.codec }, entry, healthPathOf(entry), PROBE_TIMEOUT_MS)
  const breakWatch = createBreakWatch({
    timers,
    events,
    crashes,
    crashNotifier,
    directory,
    probe
  })
  const hasReported = (entry: ServerEntry): boolean => directory.find(entry.serverId)?.state !== undefined
  const areCopiesKnown = (): boolean =>
    options.isFirstStart || timers.nowMs() - startedMs > COPIES_KNOWN_MS || directory.entries().every(entry => !hasAgent(entry) || hasReported(entry))
  const context: GatewayContext = {
    timers,
    events,
    metrics,
    codec: options.codec,
    directory,
    agents,
    tellRouters,
    demand: createDemandMeter(timers),
    unmetModels: createUnmetModels(timers),
    refusedWants,
    pool: createConnectionPool(),
    reads: createReadBarrier(timers),
    budget: createRetryBudget({ limits: options.retryLimits, timers, metrics, membership }),
    crashes,
    quotas,
    serverLimits,
    origins,
    list: feeds.list,
    crashNotifier,
    partGuard,
    breakWatch,
    lifeChecks: createLifeChecks(probe),
    heldBytes: createHeldBytes({ timers, events, metrics }),
    bodyRoom: createBodyRoom(),
    pendingRuns: createPendingRuns(timers),
    queueScaler: createQueueScaler(timers),
    coldLoads,
    isFirstStart: options.isFirstStart,
    areCopiesKnown,
    occupancy: createOccupancyMeter(),
    dataCentre: options.dataCentre,
    deployment: feeds.deployment,
    routerCount: membership.routerCount,
    stop: routerStop,
    random: options.random
  }

  const follow = (): void => {
    agents.follow(directory.entries(), hasAgent)
    context.pool.retainStarts(directory.starts())
  }
  const followSoon = joinCalls(timers, follow)

  // A router that has no links to the agents yet would refuse each request whose model must be loaded first.
  let isListening = false
  const isReady = (): boolean => {
    if (!isListening || routerStop.isAsked() || !feeds.deployment() || !directory.hasList()) return false
    const hasAgents = directory.entries().some(hasAgent)
    return !hasAgents || agents.isReady() || timers.nowMs() - startedMs > AGENT_READY_TIMEOUT_MS
  }
  // Before callers can connect: a start that ends here has taken no request.
  const closeReady = await serveReadiness(options.readyAddress, isReady, options.context)
  const ingress = await startIngress(options.callerAddress, async (message, response, turn, arrivedMs) => await takeRequest(context, message, response, turn, arrivedMs), error => {
    events.emit(BaseEvent.unexpectedFault, { step: 'ingress.take', reason: error.message })
  }, options.context)
  limitCallers = ingress.limit
  const known = feeds.deployment()
  if (known) ingress.limit(known.limits)
  isListening = true

  const demandReporter = createDemandReporter(context.demand, directory, agents)
  const stops = [
    directory.onState(createLeavingPoll(timers, directory, demandReporter.reportLeaving)),
    directory.onState(refusedWants.takeState),
    timers.every(DEMAND_PERIOD_MS, demandReporter.report),
    timers.every(FOLLOW_PERIOD_MS, follow),
    timers.every(FOLLOW_PERIOD_MS, copies.reviewLaggards),
    timers.every(REPLICA_PERIOD_MS, () => watchReplicas(context)),
    quotas.stop,
    membership.stop,
    routerFeed.stop,
    origins.stop,
    stopRecording
  ]
  showGauges(context, ingress)

  const stop = async (): Promise<void> => {
    await drain({ stop: routerStop, ingress, timers, events })
    for (const end of stops) end()
    feeds.stop()
    agents.close()
    closeReady()
    context.pool.close()
  }
  return { address: options.callerAddress, stop }
}
