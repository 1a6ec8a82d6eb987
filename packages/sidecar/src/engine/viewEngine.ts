import { lateByFewer, planOrder } from '@figmount/decisions'
import { hasCopy } from '@figmount/fleet'

import type { EngineView, OrderPlan, ResidentAdapter, PlacedModel, WantView } from '@figmount/decisions'
import type { EngineSpec, ModelSpec, ServerReport } from '@figmount/fleet'
import type { DemandBook } from '../demand/createDemandBook.js'
import type { OpenWant } from '../wants/createWantBook.js'
import type { Reserve } from './createLostOrders.js'

/** All that an order is decided by. */
export interface EngineInputs {
  readonly spec: EngineSpec
  readonly report: ServerReport
  readonly demand: DemandBook
  readonly wants: readonly OpenWant[]
  readonly mayLoadCold: boolean
  /** Model that is being loaded; empty when none. */
  readonly comingModel: string
  readonly unansweredLoad: string
  /** Room that lost orders may still take. */
  readonly reserve: Reserve
  readonly nowMs: number
  /** When each model held was loaded or first seen. */
  readonly heldSinceMs: ReadonlyMap<string, number>
}

const specMaps = new WeakMap<EngineSpec, ReadonlyMap<string, ModelSpec>>()

/** Specs by name; made once for each configuration, as an agent plans with each report of its engine. */
const specsOf = (spec: EngineSpec): ReadonlyMap<string, ModelSpec> => {
  const known = specMaps.get(spec)
  if (known) return known
  const specs = new Map(spec.models.map(model => [model.name, model]))
  specMaps.set(spec, specs)
  return specs
}

/** Time that a load of the model takes the engine. */
export const loadMsOf = (report: ServerReport, model: ModelSpec | undefined, modelName: string): number => {
  if (!model) return 0
  if (report.inMemory.includes(modelName)) return model.memoryLoadMs
  return report.onDisk.includes(modelName) ? model.diskLoadMs : model.coldLoadMs
}

/**
 * Whether a model has running requests. Routers tell twice a second for which they have some; the engine's own report is
 * newer but counts over all models, so it decides where it is certain.
 */
const isRunning = (report: ServerReport, isTold: boolean): boolean => {
  if (report.runningCount === 0 && report.startingCount === 0) return false
  return isTold || report.models.length === 1
}

/** The models held, as candidates to make way. */
export const viewResidents = (inputs: EngineInputs): readonly PlacedModel[] => {
  const specs = specsOf(inputs.spec)
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
      returnsMs: loadMsOf(inputs.report, model, held.name),
      isRunning: isRunning(inputs.report, total.isRunning),
      heldMs: inputs.nowMs - (inputs.heldSinceMs.get(held.name) ?? -Infinity),
      idleMs: total.idleMs
    }
  })
}

/** Memory for weights and adapters that is not taken. Adapters on their way count. */
export const freeMbOf = (spec: EngineSpec, report: ServerReport): number => {
  const specs = specsOf(spec)
  let takenMb = 0
  for (const held of report.models) {
    const model = specs.get(held.name)
    takenMb += (model?.weightsMb ?? spec.weightsCapacityMb) + held.adapters.length * (model?.adapterMb ?? 0)
  }
  for (const key of report.arrivingAdapters) takenMb += specs.get(key.split('/')[0] ?? '')?.adapterMb ?? 0
  return spec.weightsCapacityMb - takenMb
}

const reservedMb = (spec: EngineSpec, { modelsMb, adapterKeys }: Reserve): number => {
  const specs = specsOf(spec)
  let totalMb = 0
  for (const weightsMb of modelsMb.values()) totalMb += weightsMb
  for (const key of adapterKeys) totalMb += specs.get(key.split('/')[0] ?? '')?.adapterMb ?? 0
  return totalMb
}

/** Room of the model that is being loaded and not yet listed as held. */
const comingMb = ({ spec, report, comingModel }: EngineInputs): number => {
  if (report.models.some(model => model.name === comingModel)) return 0
  return specsOf(spec).get(comingModel)?.weightsMb ?? 0
}

const viewAdapters = ({ report, demand }: EngineInputs): readonly ResidentAdapter[] =>
  report.models.flatMap(held => held.adapters.map(adapterName => ({
    modelName: held.name, adapterName, idleMs: demand.adapterIdleMs(held.name, adapterName)
  })))

const viewWant = (inputs: EngineInputs, want: OpenWant): WantView => {
  const model = specsOf(inputs.spec).get(want.modelName)
  const total = inputs.demand.totalFor(want.modelName)
  // A router sees the queue that its own requests meet at once, and the agent the demand of all routers, a few seconds late.
  const lateCount = Math.max(want.lateCount, lateByFewer(total, total.replicaCount + 1, total.replicaCount))
  return {
    modelName: want.modelName,
    adapterName: want.adapterName,
    waitingCount: want.waitingCount,
    lateCount,
    ageMs: inputs.nowMs - want.sinceMs,
    // A model that a lost order may bring finds its room reserved.
    weightsMb: (model?.weightsMb ?? Infinity) - (inputs.reserve.modelsMb.get(want.modelName) ?? 0),
    adapterMb: model?.adapterMb ?? 0,
    isAtHand: hasCopy(inputs.report, want.modelName),
    loadMs: loadMsOf(inputs.report, model, want.modelName)
  }
}

/** The engine as the decision on the next order sees it. */
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
    freeMb: freeMbOf(inputs.spec, inputs.report) - reservedMb(inputs.spec, inputs.reserve) - comingMb(inputs),
    freeAdapterSlots: inputs.spec.adapterSlots - adapterKeys.size - inputs.reserve.adapterKeys.size,
    isBusy: inputs.report.isBusy,
    mayLoadCold: inputs.mayLoadCold,
    comingModel: inputs.comingModel,
    unansweredLoad: inputs.unansweredLoad,
    wants: inputs.wants.map(want => viewWant(inputs, want))
  }
}

/** What to do next at the engine. */
export const nextOrder = (inputs: EngineInputs): OrderPlan => planOrder(viewEngine(inputs))
