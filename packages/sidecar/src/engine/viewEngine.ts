import { countLateWithFewerReplicas, listColdWants, planOrder } from '@figmount/decisions'
import { hasLocalCopy } from '@figmount/fleet'

import type { ColdWant, EngineView, OrderPlan, ResidentAdapter, PlacedModel, WantView } from '@figmount/decisions'
import type { EngineSpec, ModelSpec, ServerReport } from '@figmount/fleet'
import type { DemandTotals } from '../demand/createDemandTotals.js'
import type { OpenWant } from '../wants/createWantRegistry.js'
import type { ReservedRoom } from './createLostOrders.js'

/** Input of the decision on the next order. */
export interface EngineInputs {
  readonly spec: EngineSpec
  readonly report: ServerReport
  readonly demand: DemandTotals
  readonly wants: readonly OpenWant[]
  readonly mayLoadCold: boolean
  /** See `EngineView.leasedModel`. */
  readonly leasedModel: string | undefined
  /** Model that is being loaded; empty for none. */
  readonly loadingModel: string
  readonly unansweredLoad: string
  /** Room that unanswered orders may still take. */
  readonly reserve: ReservedRoom
  readonly nowMs: number
  /** Time at which a report first showed each held model; -Infinity for models of the first report, loaded at an unknown time. */
  readonly heldSinceMs: ReadonlyMap<string, number>
}

const modelSpecsByEngine = new WeakMap<EngineSpec, ReadonlyMap<string, ModelSpec>>()

/** Model specs by name, cached for each configuration because an agent plans after every report of its engine. */
const modelSpecsOf = (spec: EngineSpec): ReadonlyMap<string, ModelSpec> => {
  const known = modelSpecsByEngine.get(spec)
  if (known) return known
  const specs = new Map(spec.models.map(model => [model.name, model]))
  modelSpecsByEngine.set(spec, specs)
  return specs
}

/** Time that the engine needs to load the model from its nearest copy. */
export const loadMsOf = (report: ServerReport, model: ModelSpec | undefined, modelName: string): number => {
  if (!model) return 0
  if (report.inMemory.includes(modelName)) return model.memoryLoadMs
  return report.onDisk.includes(modelName) ? model.diskLoadMs : model.coldLoadMs
}

/**
 * Whether a model has running requests. Routers report twice a second for which models they have some. The engine's own
 * report is newer but counts requests over all models, so it decides only when it counts none or the engine holds one model.
 */
const isRunning = (report: ServerReport, hasReportedRequests: boolean): boolean => {
  if (report.runningCount === 0 && report.startingCount === 0) return false
  return hasReportedRequests || report.models.length === 1
}

/** The held models as candidates for eviction. */
export const viewResidents = (inputs: EngineInputs): readonly PlacedModel[] => {
  const specs = modelSpecsOf(inputs.spec)
  return inputs.report.models.map(held => {
    const model = specs.get(held.name)
    const total = inputs.demand.totalFor(held.name)
    return {
      modelName: held.name,
      weightsMb: model?.weightsMb ?? 0,
      requestsPerS: total.requestsPerS,
      promptTokensPerS: total.promptTokensPerS,
      replicaCount: total.replicaCount,
      isDemandKnown: inputs.demand.isSettled(),
      reloadMs: loadMsOf(inputs.report, model, held.name),
      isRunning: isRunning(inputs.report, total.isRunning),
      residentMs: inputs.nowMs - (inputs.heldSinceMs.get(held.name) ?? -Infinity),
      idleMs: total.idleMs
    }
  })
}

/** Free memory for weights and adapters. Adapters that are being fetched count as taken. */
export const freeMbOf = (spec: EngineSpec, report: ServerReport): number => {
  const specs = modelSpecsOf(spec)
  let takenMb = 0
  for (const held of report.models) {
    const model = specs.get(held.name)
    takenMb += (model?.weightsMb ?? spec.weightsCapacityMb) + held.adapters.length * (model?.adapterMb ?? 0)
  }
  for (const key of report.arrivingAdapters) takenMb += specs.get(key.split('/')[0] ?? '')?.adapterMb ?? 0
  return spec.weightsCapacityMb - takenMb
}

const reservedMb = (spec: EngineSpec, { modelsMb, adapterKeys }: ReservedRoom): number => {
  const specs = modelSpecsOf(spec)
  let totalMb = 0
  for (const weightsMb of modelsMb.values()) totalMb += weightsMb
  for (const key of adapterKeys) totalMb += specs.get(key.split('/')[0] ?? '')?.adapterMb ?? 0
  return totalMb
}

/** Memory for the model that is being loaded and not yet listed as held. */
const loadingMb = ({ spec, report, loadingModel: modelName }: EngineInputs): number => {
  if (report.models.some(model => model.name === modelName)) return 0
  return modelSpecsOf(spec).get(modelName)?.weightsMb ?? 0
}

const viewAdapters = ({ report, demand }: EngineInputs): readonly ResidentAdapter[] =>
  report.models.flatMap(held => held.adapters.map(adapterName => ({
    modelName: held.name, adapterName, idleMs: demand.adapterIdleMs(held.name, adapterName)
  })))

const viewWant = (inputs: EngineInputs, want: OpenWant): WantView => {
  const model = modelSpecsOf(inputs.spec).get(want.modelName)
  const total = inputs.demand.totalFor(want.modelName)
  // A router sees at once the queue that its own requests meet; the agent sees the demand of all routers, a few seconds late. The
  // larger of the two estimates is used.
  const lateCount = Math.max(want.lateCount, countLateWithFewerReplicas(total, total.replicaCount + 1, total.replicaCount))
  return {
    modelName: want.modelName,
    adapterName: want.adapterName,
    waitingCount: want.waitingCount,
    lateCount,
    ageMs: inputs.nowMs - want.sinceMs,
    // Memory for a model that an unanswered order may still load is reserved already, and is not needed twice.
    weightsMb: (model?.weightsMb ?? Infinity) - (inputs.reserve.modelsMb.get(want.modelName) ?? 0),
    adapterMb: model?.adapterMb ?? 0,
    hasLocalCopy: hasLocalCopy(inputs.report, want.modelName),
    loadMs: loadMsOf(inputs.report, model, want.modelName)
  }
}

/** The engine's state as input for planning the next order. */
export const viewEngine = (inputs: EngineInputs): EngineView => {
  const adapters = viewAdapters(inputs)
  const adapterKeys = new Set([
    ...adapters.map(adapter => `${adapter.modelName}/${adapter.adapterName}`),
    ...inputs.report.arrivingAdapters
  ])
  return {
    residents: viewResidents(inputs),
    adapters,
    adapterKeys,
    freeMb: freeMbOf(inputs.spec, inputs.report) - reservedMb(inputs.spec, inputs.reserve) - loadingMb(inputs),
    freeAdapterSlots: inputs.spec.adapterSlots - adapterKeys.size - inputs.reserve.adapterKeys.size,
    isBusy: inputs.report.isBusy,
    mayLoadCold: inputs.mayLoadCold,
    ...(inputs.leasedModel === undefined ? {} : { leasedModel: inputs.leasedModel }),
    loadingModel: inputs.loadingModel,
    unansweredLoad: inputs.unansweredLoad,
    wants: inputs.wants.map(want => viewWant(inputs, want))
  }
}

/** The next order to the engine, and the loads that wait for a lease. */
export interface EnginePlan extends OrderPlan {
  readonly coldWants: readonly ColdWant[]
}

/** Plans the next order to the engine. */
export const planNextOrder = (inputs: EngineInputs): EnginePlan => {
  const engine = viewEngine(inputs)
  return { ...planOrder(engine), coldWants: listColdWants(engine) }
}
