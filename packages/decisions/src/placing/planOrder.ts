import { chooseVictims } from './chooseVictims.js'
import { WAITING_LOSS_LIMIT, WAIT_PER_LOSS_MS } from './constants.js'

import type { ColdWant } from './judgeLease.js'
import type { PlacedModel } from './types.js'

/** An adapter that is loaded on an engine. */
export interface ResidentAdapter {
  readonly modelName: string
  readonly adapterName: string
  readonly idleMs: number
}

/** A model or adapter that routers requested from an engine. */
export interface WantView {
  readonly modelName: string
  /** Empty when only the model is requested. */
  readonly adapterName: string
  /** Requests that wait for it; 0 when it is loaded ahead of demand. */
  readonly waitingCount: number
  /** Requests within the horizon that become late without it, excluding those that already wait. */
  readonly lateCount: number
  readonly ageMs: number
  readonly weightsMb: number
  readonly adapterMb: number
  readonly hasLocalCopy: boolean
  /** Time for which loading it occupies the engine. */
  readonly loadMs: number
}

/** State of one engine and everything requested from it. */
export interface EngineView {
  readonly residents: readonly PlacedModel[]
  readonly adapters: readonly ResidentAdapter[]
  /** Adapters that are loaded or being loaded, as `model/adapter`. */
  readonly adapterKeys: ReadonlySet<string>
  readonly freeMb: number
  readonly freeAdapterSlots: number
  /** An order is in progress; the engine rejects any other one until it ends. */
  readonly isBusy: boolean
  /** A load from the weight store may start now. */
  readonly mayLoadCold: boolean
  /** Model for whose load from the weight store the agent has a lease, empty for none; undefined when loads need no lease. */
  readonly leasedModel?: string
  /** Model that is being loaded; empty when none is. Its memory no longer counts as free. */
  readonly loadingModel: string
  /** Model whose load order has had no answer; ordering it again does not count as another load. Empty when none. */
  readonly unansweredLoad: string
  readonly wants: readonly WantView[]
}

/** The next order to send to the engine. */
export interface PlannedOrder {
  readonly operation: 'load' | 'unload'
  readonly modelName: string
  readonly adapterName: string
  readonly isCold: boolean
}

/** Next steps for an engine. */
export interface OrderPlan {
  readonly order: PlannedOrder | undefined
  /** Model that accepts no new requests, so that it can be unloaded once its running requests end; empty when none. */
  readonly drainingModel: string
}

/** Minimum idle time of an adapter before it is unloaded: the engine refuses to unload one in use, and a recently used one may be. */
const ADAPTER_IDLE_MS = 200

/** Number of requests that an eviction may make late to load a model ahead of demand. */
const PRELOAD_LOSS_LIMIT = 0.2

/** Share of a new replica's gain that the eviction for it may cost: demand moves, and both loads occupy the engine. */
const GAIN_SHARE = 0.5

/** Number of requests that an eviction may make late to make room for a model. */
const lossLimitOf = (want: WantView): number => {
  const ahead = Math.max(PRELOAD_LOSS_LIMIT, want.lateCount * GAIN_SHARE)
  return want.waitingCount === 0 ? ahead : want.waitingCount * (WAITING_LOSS_LIMIT + want.ageMs / WAIT_PER_LOSS_MS) + want.lateCount * GAIN_SHARE
}

const adapterKey = (modelName: string, adapterName: string): string => `${modelName}/${adapterName}`

const planAdapter = (engine: EngineView, want: WantView): PlannedOrder | undefined => {
  if (engine.adapterKeys.has(adapterKey(want.modelName, want.adapterName))) return undefined
  const hasRoom = engine.freeAdapterSlots > 0 && engine.freeMb >= want.adapterMb
  if (hasRoom) return { operation: 'load', modelName: want.modelName, adapterName: want.adapterName, isCold: false }
  const wanted = new Set(engine.wants.map(other => adapterKey(other.modelName, other.adapterName)))
  let oldest: ResidentAdapter | undefined
  for (const adapter of engine.adapters) {
    if (adapter.idleMs < ADAPTER_IDLE_MS) continue
    if (wanted.has(adapterKey(adapter.modelName, adapter.adapterName))) continue
    if (oldest && oldest.idleMs >= adapter.idleMs) continue
    oldest = adapter
  }
  return oldest && { operation: 'unload', modelName: oldest.modelName, adapterName: oldest.adapterName, isCold: false }
}

const NOTHING: OrderPlan = { order: undefined, drainingModel: '' }

/** The models to unload so that the wanted one fits, none if it does; undefined while that would make too many requests late. */
const planRoom = (engine: EngineView, want: WantView): readonly string[] | undefined => {
  if (engine.freeMb >= want.weightsMb) return []
  const wantedModels = new Set(engine.wants.filter(other => other.waitingCount > 0).map(other => other.modelName))
  const movable = engine.residents.filter(resident => !wantedModels.has(resident.modelName))
  const eviction = chooseVictims(movable, want.weightsMb - engine.freeMb)
  return eviction && eviction.loss <= lossLimitOf(want) ? eviction.modelNames : undefined
}

const hasLease = ({ leasedModel }: EngineView, { modelName }: WantView): boolean => leasedModel === undefined || leasedModel === modelName

const mayLoad = (engine: EngineView, want: WantView): boolean =>
  want.hasLocalCopy || engine.unansweredLoad === want.modelName || (engine.mayLoadCold && hasLease(engine, want))

const planModel = (engine: EngineView, want: WantView): OrderPlan => {
  const victims = mayLoad(engine, want) ? planRoom(engine, want) : undefined
  if (!victims) return NOTHING
  if (victims.length === 0) {
    return { order: { operation: 'load', modelName: want.modelName, adapterName: '', isCold: !want.hasLocalCopy }, drainingModel: '' }
  }
  for (const modelName of victims) {
    const isRunning = engine.residents.some(resident => resident.modelName === modelName && resident.isRunning)
    if (!isRunning) return { order: { operation: 'unload', modelName, adapterName: '', isCold: false }, drainingModel: '' }
  }
  return { order: undefined, drainingModel: victims[0] ?? '' }
}

const planAdapters = (engine: EngineView, held: ReadonlySet<string>, wants: readonly WantView[]): PlannedOrder | undefined => {
  for (const want of wants) {
    if (want.adapterName === '' || !held.has(want.modelName)) continue
    const order = planAdapter(engine, want)
    if (order) return order
  }
  return undefined
}

/**
 * Plans the next order for a model. A model that is to be evicted while it runs requests is drained: it accepts no new ones and
 * is unloaded after they end.
 *
 * Load pattern: rarely used models that take turns on an engine next to busy ones. An engine that is ordered to unload a model in
 * use waits for its streams and accepts no other order meanwhile, so other models and adapters would wait as well.
 */
const planModels = (engine: EngineView, held: ReadonlySet<string>, wants: readonly WantView[]): OrderPlan => {
  let drainingModel = ''
  for (const want of wants) {
    if (held.has(want.modelName) || want.modelName === engine.loadingModel) continue
    const plan = planModel(engine, want)
    if (plan.order) return { order: plan.order, drainingModel }
    if (drainingModel === '') drainingModel = plan.drainingModel
  }
  return { order: undefined, drainingModel }
}

/** Requests served in time per ms for which the load occupies the engine. */
const valuePerLoadMs = (want: WantView): number => (want.waitingCount + want.lateCount * GAIN_SHARE) / Math.max(1, want.loadMs)

/**
 * Sorts by requests served per ms of engine time, then by age. By age alone, the many callers of a busy model would wait behind a
 * series of rarely used ones. Requests that wait do not always take precedence over a replica loaded ahead of demand: with many
 * rarely used models there is always some request waiting, and the busy model would never get its replica.
 */
const compareUrgency = (a: WantView, b: WantView): number =>
  valuePerLoadMs(b) - valuePerLoadMs(a) ||
  b.ageMs - a.ageMs

/**
 * Plans the next order for an engine, if something is requested and possible now, and selects the model to drain for a later one.
 *
 * Load pattern: a burst for a model that is not loaded, together with adapters for models that are. Adapters take precedence: they
 * load in 5 ms and would wait for seconds behind a model load. Memory is freed before a load is ordered, according to the
 * engine's own figures, so that weights and adapters never exceed its capacity.
 */
export const planOrder = (engine: EngineView): OrderPlan => {
  const held = new Set(engine.residents.map(resident => resident.modelName))
  const wants = [...engine.wants].sort(compareUrgency)
  const { order, drainingModel } = planModels(engine, held, wants)
  if (engine.isBusy) return { order: undefined, drainingModel }
  return { order: planAdapters(engine, held, wants) ?? order, drainingModel }
}

/** Models that the engine could load from the weight store now, with a lease, the most urgent first. */
export const listColdWants = (engine: EngineView): readonly ColdWant[] => {
  if (!engine.mayLoadCold) return []
  const isHeld = ({ modelName }: WantView): boolean => engine.residents.some(resident => resident.modelName === modelName)
  const missing = engine.wants.filter(want =>
    want.adapterName === '' && !want.hasLocalCopy && want.modelName !== engine.loadingModel && !isHeld(want))
  const coldWants: ColdWant[] = []
  for (const want of missing.sort(compareUrgency)) {
    if (planRoom(engine, want)) coldWants.push({ modelName: want.modelName, waitingCount: want.waitingCount, coldLoadMs: want.loadMs })
  }
  return coldWants
}
