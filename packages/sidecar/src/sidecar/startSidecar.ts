import { createFeedFollower, LONG_POLL_MS } from '@figmount/fleet'
import { estimateRoomMs, evictionLossOf, RUNNING_UNLOAD_MS } from '@figmount/decisions'

import { createDemandBook } from '../demand/createDemandBook.js'
import { createOrderer } from '../engine/createOrderer.js'
import { freeMbOf, viewResidents } from '../engine/viewEngine.js'
import { watchEngine } from '../engine/watchEngine.js'
import { SidecarEvent } from '../events.js'
import { TELL_PERIOD_MS } from '../links/constants.js'
import { serveRouters } from '../links/serveRouters.js'
import { createWantBook } from '../wants/createWantBook.js'
import { createIdentity } from './createIdentity.js'
import { COLD_SPACING_MS } from './constants.js'

import type { InstanceName, ProcessContext, RunningProcess } from '@figmount/base'
import type { AgentLoad, AgentState, Deployment, EnginePort, EngineSpec, FeedRecord, ServerReport, StorePort } from '@figmount/fleet'

/** What an agent on the HTTP path is started with. */
export interface SidecarOptions {
  readonly context: ProcessContext<unknown>
  readonly instance: InstanceName
  readonly host: string
  /** Where routers reach the agent. */
  readonly port: number
  readonly sharedKey: string
  /** Service of the engine beside the agent. */
  readonly serviceName: string
  readonly isFirstStart: boolean
  readonly engine: EnginePort
  readonly store: StorePort
}

/** Starts an agent: it watches one engine, orders its models, and tells routers what it holds. */
export const startSidecar = async (options: SidecarOptions): Promise<RunningProcess> => {
  const { timers, events, metrics } = options.context
  const demand = createDemandBook(timers)
  const wants = createWantBook(timers)
  let deployment: Deployment | undefined
  let isUp = false

  const spec = (): EngineSpec | undefined =>
    deployment?.services.find(service => service.name === options.serviceName)?.engine

  const identity = createIdentity({
    engine: options.engine,
    timers,
    events,
    healthPath: () => deployment?.services.find(service => service.name === options.serviceName)?.healthPath,
    changed: () => { links.tell() }
  })

  const orderer = createOrderer({
    engine: options.engine,
    timers,
    events,
    demand,
    wants,
    spec,
    serverId: identity.current,
    noteOtherServer: () => { identity.drop('an order was turned away') },
    coldSpacingMs: COLD_SPACING_MS,
    isFirstStart: options.isFirstStart,
    changed: () => { links.tell() },
    hurry: () => { watch.hurry() }
  })

  /** What another model's load would cost here. */
  const priceRoom = (report: ServerReport | undefined): Pick<AgentState, 'roomMs' | 'evictionLoss'> => {
    const engineSpec = spec()
    if (!engineSpec || !report) return { roomMs: 0, evictionLoss: 0 }
    const residents = viewResidents({
      spec: engineSpec, report, demand, wants: [], mayLoadCold: true, unansweredLoad: '', nowMs: timers.nowMs(), heldSinceMs: orderer.heldSinceMs()
    })
    const largestMb = Math.max(0, ...engineSpec.models.map(model => model.weightsMb))
    const isLeaving = orderer.leavingModels().length > 0
    const roomMs = isLeaving ? RUNNING_UNLOAD_MS : estimateRoomMs(residents, largestMb - freeMbOf(engineSpec, report))
    if (roomMs === 0 || residents.length === 0) return { roomMs, evictionLoss: 0 }
    return { roomMs: Math.round(roomMs), evictionLoss: Math.round(Math.min(...residents.map(evictionLossOf)) * 100) / 100 }
  }

  const describe = (routerCount: number): AgentState => {
    const report = orderer.report()
    const load = orderer.currentLoad()
    const models = report?.models ?? []
    return {
      type: 'state',
      serverId: identity.current(),
      goneServerIds: identity.gone(),
      isUp,
      isDraining: report?.isDraining ?? false,
      models,
      leavingModels: orderer.leavingModels(),
      loadingModel: load?.modelName ?? '',
      isLoadingCold: load?.isCold ?? false,
      loadingLeftMs: load ? Math.max(0, load.endsAtMs - timers.nowMs()) : 0,
      coldWaitMs: Math.round(orderer.coldWaitMs()),
      queuedModels: wants.open().filter(want => want.adapterName === '').map(want => want.modelName),
      inMemory: report?.inMemory ?? [],
      onDisk: report?.onDisk ?? [],
      ...priceRoom(report),
      demandTokensPerS: models.map(model => Math.round(demand.totalFor(model.name).promptTokensPerS)),
      routerCount
    }
  }

  const describeLoad = (): AgentLoad | undefined => {
    const report = orderer.report()
    if (!report) return undefined
    return { type: 'load', runningCount: report.runningCount, startingCount: report.startingCount }
  }

  const isHeld = (modelName: string, adapterName: string): boolean => {
    const model = orderer.report()?.models.find(held => held.name === modelName)
    if (!model || orderer.leavingModels().includes(modelName)) return false
    return adapterName === '' || model.adapters.includes(adapterName)
  }

  const advance = (): void => {
    wants.review(isHeld)
    orderer.review()
    links.tell()
  }

  const takeReport = (report: ServerReport): void => {
    if (!isUp) events.emit(SidecarEvent.engineUp, { peer: identity.current() })
    if (report.isDraining && !orderer.report()?.isDraining) events.emit(SidecarEvent.engineDraining, { peer: identity.current() })
    isUp = true
    identity.learn()
    orderer.take(report)
    advance()
  }

  const noteDown = (reason: string): void => {
    if (isUp) events.emit(SidecarEvent.engineDown, { peer: identity.current(), reason })
    isUp = false
    identity.drop(reason)
    orderer.forget()
    wants.giveUpAll('engine is down')
    links.tell()
  }

  const takeDeployment = (record: FeedRecord): void => {
    if (!record.value || !options.store.isDeploymentKey(record.key)) return
    options.store.decodeDeployment(record.key, record.value).caseOf({
      Left: fault => { events.emit(SidecarEvent.recordRefused, { step: fault.step, peer: fault.peer, reason: fault.message, offset: record.offset }) },
      Right: next => {
        if (deployment && next.version <= deployment.version) return
        deployment = next
        events.emit(SidecarEvent.deploymentTaken, { version: String(next.version), offset: record.offset })
      }
    })
  }

  const links = serveRouters({
    instance: options.instance,
    host: options.host,
    port: options.port,
    sharedKey: options.sharedKey,
    timers,
    events,
    describe,
    describeLoad,
    takeWant: (router, want, settle) => {
      events.emit(SidecarEvent.wantTaken, { peer: router, model: want.modelName, adapter: want.adapterName ?? '', count: want.waitingCount })
      metrics.count('wants_total')
      if (identity.gone().includes(want.serverId)) return settle(want.wantId, { isReady: false, isLost: true, reason: 'the engine has restarted' })
      if (!isUp) return settle(want.wantId, { isReady: false, isLost: true, reason: 'engine is down' })
      wants.add(want, settle)
      advance()
    },
    takeDemand: demand.take
  })

  const watch = watchEngine({
    engine: options.engine,
    timers,
    events,
    nextPollMs: orderer.nextPollMs,
    take: takeReport,
    down: fault => { noteDown(fault.message) }
  })
  const stopTelling = timers.every(TELL_PERIOD_MS, advance)

  const deployments = createFeedFollower({
    feed: options.store.deploymentFeed,
    timers,
    events,
    waitMs: LONG_POLL_MS,
    periodMs: 0,
    take: records => { for (const record of records) takeDeployment(record) },
    takeKeys: () => {},
    lost: fault => { events.emit(SidecarEvent.feedLost, { step: fault.step, peer: fault.peer, reason: fault.message }) },
    regained: outageMs => { events.emit(SidecarEvent.feedRegained, { peer: options.store.deploymentFeed.name, durationMs: Math.round(outageMs) }) }
  })

  return {
    address: `${options.host}:${options.port}`,
    stop: async () => {
      stopTelling()
      watch.stop()
      deployments.stop()
      wants.giveUpAll('the agent stops')
      links.close()
    }
  }
}
