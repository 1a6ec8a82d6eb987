import { chooseVictims } from './chooseVictims.js'
import { WAITING_LOSS, WAIT_STEP_MS } from './constants.js'

import type { PlacedModel } from './types.js'

/** An adapter that an engine holds. */
export interface ResidentAdapter {
  readonly modelName: string
  readonly adapterName: string
  readonly idleMs: number
}

/** Something that routers want in place. */
export interface WantView {
  readonly modelName: string
  /** Empty when the model alone is wanted. */
  readonly adapterName: string
  /** Requests that wait; 0 when it is wanted ahead of any. */
  readonly waitingCount: number
  /** Requests of the next seconds that are late without it, beside those that wait. */
  readonly lateCount: number
  readonly ageMs: number
  readonly weightsMb: number
  readonly adapterMb: number
  readonly isAtHand: boolean
  /** Time that its load takes the engine. */
  readonly loadMs: number
}

/** One engine and what is wanted of it. */
export interface EngineView {
  readonly residents: readonly PlacedModel[]
  readonly adapters: readonly ResidentAdapter[]
  /** Adapters held or being fetched, as `model/adapter`. */
  readonly adapterKeys: ReadonlySet<string>
  readonly freeMb: number
  readonly freeAdapterSlots: number
  /** An order is being carried out: the engine turns every other one away. */
  readonly isBusy: boolean
  /** A load from the weight store may begin now. */
  readonly mayLoadCold: boolean
  /** Model that is being loaded; empty when none. Its room is not free any more. */
  readonly comingModel: string
  /** Model whose load was ordered without an answer; asked for again it counts as the same load. Empty when none. */
  readonly unansweredLoad: string
  readonly wants: readonly WantView[]
}

/** The next order to give. */
export interface PlannedOrder {
  readonly operation: 'load' | 'unload'
  readonly modelName: string
  readonly adapterName: string
  readonly isCold: boolean
}

/** What to do next. */
export interface OrderPlan {
  readonly order: PlannedOrder | undefined
  /** Model that takes no new requests, so that it can be unloaded once those that run have ended; empty when none. */
  readonly drainingModel: string
}

/** An adapter in use is not unloaded by the engine; one that was used this lately is likely to be. */
const ADAPTER_IDLE_MS = 200

/** Requests that may be late for a model that nobody waits for yet. */
const PRELOAD_LOSS_LIMIT = 0.2

/** Part of a replica's gain that its room may cost others: demand moves, and both loads take the engine's time. */
const GAIN_SHARE = 0.5

/** Requests that may be late for a want. */
const lossLimitOf = (want: WantView): number => {
  const ahead = Math.max(PRELOAD_LOSS_LIMIT, want.lateCount * GAIN_SHARE)
  return want.waitingCount === 0 ? ahead : want.waitingCount * (WAITING_LOSS + want.ageMs / WAIT_STEP_MS) + want.lateCount * GAIN_SHARE
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

const planModel = (engine: EngineView, want: WantView): OrderPlan => {
  const mayLoad = want.isAtHand || engine.mayLoadCold || engine.unansweredLoad === want.modelName
  if (!mayLoad) return NOTHING
  if (engine.freeMb >= want.weightsMb) {
    return { order: { operation: 'load', modelName: want.modelName, adapterName: '', isCold: !want.isAtHand }, drainingModel: '' }
  }
  const wantedModels = new Set(engine.wants.filter(other => other.waitingCount > 0).map(other => other.modelName))
  const movable = engine.residents.filter(resident => !wantedModels.has(resident.modelName))
  const eviction = chooseVictims(movable, want.weightsMb - engine.freeMb)
  if (!eviction || eviction.loss > lossLimitOf(want)) return NOTHING
  for (const modelName of eviction.modelNames) {
    const isRunning = engine.residents.some(resident => resident.modelName === modelName && resident.isRunning)
    if (!isRunning) return { order: { operation: 'unload', modelName, adapterName: '', isCold: false }, drainingModel: '' }
  }
  return { order: undefined, drainingModel: eviction.modelNames[0] ?? '' }
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
 * The next order on a whole model. A model that must go while requests run on it takes no new ones and is unloaded after
 * their end.
 *
 * Load pattern: rare models that take turns on an engine, beside busy ones. An engine that is ordered to unload a model in use
 * waits for its streams, and takes no other order meanwhile: other models and adapters would wait with it.
 */
const planModels = (engine: EngineView, held: ReadonlySet<string>, wants: readonly WantView[]): OrderPlan => {
  let drainingModel = ''
  for (const want of wants) {
    if (held.has(want.modelName) || want.modelName === engine.comingModel) continue
    const plan = planModel(engine, want)
    if (plan.order) return { order: plan.order, drainingModel }
    if (drainingModel === '') drainingModel = plan.drainingModel
  }
  return { order: undefined, drainingModel }
}

/** Requests served in time for each ms that the engine takes no other order. */
const densityOf = (want: WantView): number => (want.waitingCount + want.lateCount * GAIN_SHARE) / Math.max(1, want.loadMs)

/**
 * What serves most requests for the time that it takes goes first, then the longest wait.
 * By age alone the many callers of a busy model wait behind one after the other for rare ones. Nor do those that wait always go
 * before a replica that nobody waits for: beside rare models somebody always waits, and a busy model's replica never has its turn.
 */
const byUrgency = (a: WantView, b: WantView): number =>
  densityOf(b) - densityOf(a) ||
  b.ageMs - a.ageMs

/**
 * The next order for an engine, if anything is wanted and possible now, and which model makes room for a later one.
 *
 * Load pattern: a burst for a model that is not there, beside adapters for those that are. Adapters go first: they take
 * 5 ms, and behind a load they would wait for seconds. Room is made before a load is ordered, by the engine's own figures, so that weights
 * and adapters never exceed what it holds.
 */
export const planOrder = (engine: EngineView): OrderPlan => {
  const held = new Set(engine.residents.map(resident => resident.modelName))
  const wants = [...engine.wants].sort(byUrgency)
  const { order, drainingModel } = planModels(engine, held, wants)
  if (engine.isBusy) return { order: undefined, drainingModel }
  return { order: planAdapters(engine, held, wants) ?? order, drainingModel }
}
