import { estimateRoomMs, evictionLossOf, unloadMsOf } from '@figmount/decisions'

import { freeMbOf, viewResidents } from '../engine/viewEngine.js'

import type { TimerService } from '@figmount/base'
import type { AgentLoad, AgentState, EngineSpec, ServerReport } from '@figmount/fleet'
import type { DemandTotals } from '../demand/createDemandTotals.js'
import type { ReservedRoom } from '../engine/createLostOrders.js'
import type { Orderer } from '../engine/createOrderer.js'
import type { WantRegistry } from '../wants/createWantRegistry.js'
import type { Identity } from './createIdentity.js'

/** All that an agent tells routers of its engine. */
export interface DescribedEngine {
  readonly timers: TimerService
  readonly spec: EngineSpec | undefined
  readonly isUp: boolean
  readonly identity: Identity
  readonly orderer: Orderer
  readonly demand: DemandTotals
  readonly wants: WantRegistry
  readonly deploymentOffset: number
  readonly routerCount: number
}

type RoomPrice = Pick<AgentState, 'roomMs' | 'evictionLoss'>

const NOTHING_RESERVED: ReservedRoom = { modelsMb: new Map(), adapterKeys: new Set() }

const NO_PRICE: RoomPrice = { roomMs: 0, evictionLoss: 0 }

/** What another model's load would cost here. */
const priceRoom = ({ timers, spec, orderer, demand }: DescribedEngine, report: ServerReport): RoomPrice => {
  if (!spec || report.models.length === 0) return NO_PRICE
  const residents = viewResidents({
    spec, report, demand, wants: [], mayLoadCold: true, loadingModel: '', unansweredLoad: '', reserve: NOTHING_RESERVED, nowMs: timers.nowMs(), heldSinceMs: orderer.heldSinceMs()
  })
  const largestMb = Math.max(0, ...spec.models.map(model => model.weightsMb))
  const leaving = residents.find(resident => orderer.leavingModels().includes(resident.modelName))
  const roomMs = leaving ? unloadMsOf(leaving) : estimateRoomMs(residents, largestMb - freeMbOf(spec, report))
  if (roomMs === 0) return NO_PRICE
  return { roomMs: Math.round(roomMs), evictionLoss: Math.round(Math.min(...residents.map(evictionLossOf)) * 100) / 100 }
}

const describeLoading = ({ timers, orderer }: DescribedEngine): Pick<AgentState, 'loadingModel' | 'isLoadingCold' | 'loadingLeftMs' | 'loadingForMs'> => {
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

/** What an engine holds and does, for routers. */
export const describeEngine = (engine: DescribedEngine): AgentState => {
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
    queuedModels: wants.open().filter(want => want.adapterName === '').map(want => want.modelName),
    inMemory: report?.inMemory ?? [],
    onDisk: report?.onDisk ?? [],
    ...(report ? priceRoom(engine, report) : NO_PRICE),
    demandTokensPerS: models.map(model => Math.round(demand.totalFor(model.name).promptTokensPerS)),
    routerCount: engine.routerCount,
    deploymentOffset: engine.deploymentOffset
  }
}

/** How many requests an engine runs, for routers; undefined while it does not answer. */
export const describeEngineLoad = (orderer: Orderer): AgentLoad | undefined => {
  const report = orderer.report()
  return report && { type: 'load', runningCount: report.runningCount, startingCount: report.startingCount }
}
