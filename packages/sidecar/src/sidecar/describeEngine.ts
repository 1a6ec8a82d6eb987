import { estimateRoomMs, evictionLossOf, unloadMsOf } from '@figmount/decisions'

import { freeMbOf, viewResidents } from '../engine/viewEngine.js'

import type { TimerService } from '@figmount/base'
import type { AgentLoad, AgentState, EngineSpec, ServerReport } from '@figmount/fleet'
import type { DemandTotals } from '../demand/createDemandTotals.js'
import type { ReservedRoom } from '../engine/createLostOrders.js'
import type { Orderer } from '../engine/createOrderer.js'
import type { WantRegistry } from '../wants/createWantRegistry.js'
import type { Identity } from './createIdentity.js'

/** The parts of an agent that the state sent to routers is built from. */
export interface EngineContext {
  readonly timers: TimerService
  readonly spec: EngineSpec | undefined
  readonly isUp: boolean
  readonly identity: Identity
  readonly orderer: Orderer
  readonly demand: DemandTotals
  readonly wants: WantRegistry
  readonly deploymentVersion: number
  readonly followsDeployments: boolean
  readonly routerCount: number
}

type EvictionCost = Pick<AgentState, 'roomMs' | 'evictionLoss'>

const NOTHING_RESERVED: ReservedRoom = { modelsMb: new Map(), adapterKeys: new Set() }

const NO_EVICTION_COST: EvictionCost = { roomMs: 0, evictionLoss: 0 }

/** Estimates the cost of evicting a held model to load another one. */
const estimateEvictionCost = ({ timers, spec, orderer, demand }: EngineContext, report: ServerReport): EvictionCost => {
  if (!spec || report.models.length === 0) return NO_EVICTION_COST
  const residents = viewResidents({
    spec, report, demand, wants: [], mayLoadCold: true, leasedModel: undefined, loadingModel: '', unansweredLoad: '', reserve: NOTHING_RESERVED, nowMs: timers.nowMs(), heldSinceMs: orderer.heldSinceMs()
  })
  const largestMb = Math.max(0, ...spec.models.map(model => model.weightsMb))
  const leavingModel = residents.find(resident => orderer.leavingModels().includes(resident.modelName))
  const roomMs = leavingModel ? unloadMsOf(leavingModel) : estimateRoomMs(residents, largestMb - freeMbOf(spec, report))
  if (roomMs === 0) return NO_EVICTION_COST
  return { roomMs: Math.round(roomMs), evictionLoss: Math.round(Math.min(...residents.map(evictionLossOf)) * 100) / 100 }
}

const describeLoading = ({ timers, orderer }: EngineContext): Pick<AgentState, 'loadingModel' | 'isLoadingCold' | 'loadingLeftMs' | 'loadingForMs'> => {
  const load = orderer.currentLoad()
  if (!load) return { loadingModel: '', isLoadingCold: false, loadingLeftMs: 0, loadingForMs: 0 }
  const nowMs = timers.nowMs()
  return {
    loadingModel: load.modelName,
    isLoadingCold: load.isCold,
    loadingLeftMs: Math.max(0, load.endsAtMs - nowMs),
    loadingForMs: load.beganMs === undefined ? 0 : Math.max(1, nowMs - load.beganMs)
  }
}

/** Builds the engine state that is sent to routers. */
export const describeEngine = (engine: EngineContext): AgentState => {
  const { identity, orderer, demand, wants } = engine
  const report = orderer.report()
  const models = report?.models ?? []
  return {
    type: 'state',
    ...identity.current(),
    goneStarts: identity.gone(),
    isUp: engine.isUp,
    isDraining: report?.isDraining ?? false,
    models,
    leavingModels: orderer.leavingModels(),
    ...describeLoading(engine),
    coldWaitMs: Math.round(orderer.coldWaitMs()),
    nextColdModel: orderer.nextColdModel(),
    queuedModels: wants.open().filter(want => want.adapterName === '').map(want => want.modelName),
    inMemory: report?.inMemory ?? [],
    onDisk: report?.onDisk ?? [],
    ...(report ? estimateEvictionCost(engine, report) : NO_EVICTION_COST),
    demandTokensPerS: models.map(model => Math.round(demand.totalFor(model.name).promptTokensPerS)),
    routerCount: engine.routerCount,
    deploymentVersion: engine.deploymentVersion,
    followsDeployments: engine.followsDeployments
  }
}

/** Builds the load message for routers; undefined while the engine does not answer. */
export const describeEngineLoad = (orderer: Orderer): AgentLoad | undefined => {
  const report = orderer.report()
  return report && { type: 'load', runningCount: report.runningCount, startingCount: report.startingCount }
}
