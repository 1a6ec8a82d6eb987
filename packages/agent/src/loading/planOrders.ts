import { viewResidents } from '../eviction/viewResidents.js'
import { MIN_KEEP_MS } from '../keepalive/constants.js'
import { viewIdle } from '../keepalive/viewIdle.js'
import { freeMb } from '../memory/ledger.js'
import { UNUSED_KEEP_MS } from './constants.js'
import { findSlot, idleForMs, openOrder } from './slots.js'

import type { ModelId } from '@figmount/base'
import type { ChooseVictims, KeepAlive, OrderLoads, ResidentView, WaitingLoad } from '@figmount/decisions'
import type { EngineOrder } from '../engine/types.js'
import type { Demand, EngineState, HeldSlot, ModelPlan, Slot } from './types.js'

/** Inputs for planning the next orders. */
export interface PlanView {
  readonly state: EngineState
  readonly nowMs: number
  readonly rights: ReadonlyMap<ModelId, HeldSlot>
  readonly demands: ReadonlyMap<ModelId, Demand>
  /** Configuration of a model; undefined if it is not configured. */
  readonly planOf: (model: ModelId) => ModelPlan | undefined
  /** False while the agent may not act on its rights. */
  readonly mayLoad: boolean
  readonly draining: boolean
  readonly maxStoreLoads: number
  readonly keepAlive: KeepAlive
  readonly chooseVictims: ChooseVictims
  readonly orderLoads: OrderLoads
}

/** Orders to send, and the state with their reservations. */
export interface OrderPlan {
  readonly orders: readonly EngineOrder[]
  readonly state: EngineState
}

const makeUnload = (slot: Slot, right: HeldSlot | undefined): EngineOrder =>
  ({ kind: 'unload', model: slot.model, fence: Math.max(slot.fence, right?.fence ?? 0) })

/** False if the configuration lowered `maxReplicas` below this slot after the grant. */
const isWithinMaxReplicas = (right: HeldSlot, { spec }: ModelPlan): boolean => right.slotIndex < spec.maxReplicas

const isPinned = (view: PlanView, model: ModelId): boolean => {
  const right = view.rights.get(model)
  const plan = view.planOf(model)
  return right !== undefined && !right.revoked && plan !== undefined && right.slotIndex < plan.spec.minReplicas
}

/** Fraction of the memory that cold models with waiting requests need. */
const memoryPressureOf = (view: PlanView): number => {
  let wantedMb = 0
  for (const [model, demand] of view.demands) {
    if (demand.waitingCount === 0 || findSlot(view.state, model).phase !== 'cold') continue
    wantedMb += view.planOf(model)?.spec.memoryMb ?? 0
  }
  return Math.min(1, wantedMb / Math.max(1, view.state.ledger.capacityMb))
}

/**
 * True for a model that was loaded recently and not used yet. Callers that were refused during the load have not
 * retried yet, and keep-alive, which counts from the last use, would unload the model as soon as it is ready.
 */
const isUnusedSinceLoad = (slot: Slot, nowMs: number): boolean =>
  slot.lastUsedMs <= slot.orderedAtMs && nowMs - slot.changedAtMs < UNUSED_KEEP_MS

/** True if a loaded model has to be unloaded for a reason other than memory. */
const shouldUnload = (view: PlanView, slot: Slot): boolean => {
  const demand = view.demands.get(slot.model)
  if ((demand?.runningCount ?? 0) > 0) return false
  const right = view.rights.get(slot.model)
  const plan = view.planOf(slot.model)
  if (!right || right.revoked || !plan || !isWithinMaxReplicas(right, plan)) return true
  // A replica has one version: the old version is unloaded before the new one is loaded.
  const isWaitedFor = (demand?.waitingCount ?? 0) > 0
  if (slot.version !== (isWaitedFor && demand ? demand.version : plan.spec.currentVersion)) return true
  if (isWaitedFor || isPinned(view, slot.model)) return false
  if (isUnusedSinceLoad(slot, view.nowMs) || idleForMs(slot, view.nowMs) < MIN_KEEP_MS) return false
  return view.keepAlive(viewIdle(view.state, slot, plan, memoryPressureOf(view), view.nowMs)) <= 0
}

/** Unloads adapters that the configuration has removed or no longer allows in this slot. */
const adapterUnloads = (view: PlanView, slot: Slot): readonly EngineOrder[] => {
  const right = view.rights.get(slot.model)
  const plan = view.planOf(slot.model)
  if (!right || !plan) return []
  for (const { adapter } of slot.adapters.values()) {
    const spec = plan.spec.adapters.find(({ name }) => name === adapter)
    const isAllowed = spec !== undefined && right.slotIndex < (spec.maxReplicas ?? plan.spec.maxReplicas)
    if (isAllowed || view.demands.get(slot.model)?.runningAdapters.has(adapter)) continue
    return [{ kind: 'unloadAdapter', model: slot.model, adapter, fence: Math.max(slot.fence, right.fence) }]
  }
  return []
}

const planUnloads = (view: PlanView): readonly EngineOrder[] => {
  const orders: EngineOrder[] = []
  for (const slot of view.state.slots.values()) {
    if (slot.phase !== 'ready' || slot.openOrder || slot.notBeforeMs > view.nowMs) continue
    if (shouldUnload(view, slot)) orders.push(makeUnload(slot, view.rights.get(slot.model)))
    else orders.push(...adapterUnloads(view, slot))
  }
  return orders
}

const waitingLoads = (view: PlanView): readonly WaitingLoad[] => {
  if (!view.mayLoad) return []
  const loads: WaitingLoad[] = []
  for (const right of view.rights.values()) {
    const slot = findSlot(view.state, right.model)
    const demand = view.demands.get(right.model)
    const plan = view.planOf(right.model)
    const waitingCount = demand?.waitingCount ?? 0
    const wanted = waitingCount > 0 || (isPinned(view, right.model) && !view.draining)
    if (!wanted || !plan || right.revoked || !isWithinMaxReplicas(right, plan) || slot.phase !== 'cold' || slot.openOrder) continue
    const heldBackMs = Math.max(slot.notBeforeMs, slot.tier === 'remote' ? view.state.store.notBeforeMs : 0)
    if (heldBackMs > view.nowMs) continue
    loads.push({
      model: right.model,
      waitingCount,
      highestPriority: demand?.highestPriority ?? 0,
      earliestDeadlineMs: demand?.earliestDeadlineMs ?? Number.POSITIVE_INFINITY,
      askedAtMs: demand?.askedAtMs ?? view.nowMs,
      checkpointMb: plan.spec.checkpointMb,
      tier: slot.tier
    })
  }
  return view.orderLoads(loads, view.nowMs)
}

const victimOrder = (view: PlanView, victim: ResidentView): EngineOrder => {
  const slot = findSlot(view.state, victim.model)
  const right = view.rights.get(victim.model)
  if (victim.adapter === '') return makeUnload(slot, right)
  return { kind: 'unloadAdapter', model: victim.model, adapter: victim.adapter, fence: Math.max(slot.fence, right?.fence ?? 0) }
}

/** Memory that open unload orders will free. */
const unloadingMb = (state: EngineState): number => {
  let sumMb = 0
  for (const slot of state.slots.values()) {
    if (slot.phase === 'unloading') sumMb += slot.memoryMb
    for (const adapter of slot.adapters.values()) {
      if (slot.phase === 'unloading' || adapter.phase === 'unloading') sumMb += adapter.memoryMb
    }
  }
  return sumMb
}

/** Unload orders that free `neededMb`; undefined if that is not possible now. */
const planEvictions = (view: PlanView, state: EngineState, neededMb: number): readonly EngineOrder[] | undefined => {
  const missingMb = neededMb - freeMb(state.ledger) - unloadingMb(state)
  if (missingMb <= 0) return []
  const residents = viewResidents({
    state, nowMs: view.nowMs, demandOf: model => view.demands.get(model), isPinned: model => isPinned(view, model)
  })
  const victims = view.chooseVictims(residents, missingMb)
  const models = new Set(victims?.filter(({ adapter }) => adapter === '').map(({ model }) => model))
  // Unloading a model also unloads its adapters, so they need no orders of their own.
  return victims?.filter(({ model, adapter }) => adapter === '' || !models.has(model)).map(victim => victimOrder(view, victim))
}

const makeLoad = (view: PlanView, model: ModelId): EngineOrder | undefined => {
  const right = view.rights.get(model)
  const plan = view.planOf(model)
  if (!right || !plan) return undefined
  const demand = view.demands.get(model)
  const version = demand && demand.waitingCount > 0 ? demand.version : plan.spec.currentVersion
  return { kind: 'load', model, fence: right.fence, version, memoryMb: plan.spec.memoryMb, checkpointMb: plan.spec.checkpointMb }
}

const adapterLoads = (view: PlanView): readonly EngineOrder[] => {
  if (!view.mayLoad) return []
  const orders: EngineOrder[] = []
  for (const [model, demand] of view.demands) {
    const slot = findSlot(view.state, model)
    const right = view.rights.get(model)
    const plan = view.planOf(model)
    if (slot.phase !== 'ready' || slot.openOrder || !right || right.revoked || !plan || slot.notBeforeMs > view.nowMs) continue
    for (const wanted of demand.wantedAdapters) {
      const spec = plan.spec.adapters.find(adapter => adapter.name === wanted)
      if (!spec || slot.adapters.has(wanted) || right.slotIndex >= (spec.maxReplicas ?? plan.spec.maxReplicas)) continue
      orders.push({ kind: 'loadAdapter', model, adapter: wanted, fence: right.fence, memoryMb: spec.memoryMb })
      break
    }
  }
  return orders
}

const openStoreLoads = (state: EngineState): number => {
  let count = 0
  for (const slot of state.slots.values()) {
    if (slot.openOrder?.kind === 'load' && slot.tier === 'remote') count += 1
  }
  return count
}

/**
 * Plans the next orders to the engine: necessary unloads first, then loads in the order of `orderLoads` as far as memory
 * allows, then unloads that free memory for the first load that does not fit. The returned state has every order of the
 * plan open, so that its memory is reserved before the order is sent.
 */
export const planOrders = (view: PlanView): OrderPlan => {
  let state = view.state
  const orders: EngineOrder[] = []

  const open = (order: EngineOrder): boolean => {
    const next = openOrder(state, order, view.nowMs)
    if (!next) return false
    state = next
    orders.push(order)
    return true
  }

  for (const order of planUnloads(view)) open(order)

  const wanted = [
    ...waitingLoads(view).flatMap(load => makeLoad(view, load.model) ?? []),
    ...adapterLoads(view)
  ]
  for (const order of wanted) {
    if (order.kind === 'load' && findSlot(state, order.model).tier === 'remote' && openStoreLoads(state) >= view.maxStoreLoads) continue
    if (open(order)) continue
    const neededMb = order.kind === 'load' || order.kind === 'loadAdapter' ? order.memoryMb : 0
    const victims = planEvictions(view, state, neededMb)
    if (!victims) continue
    for (const victim of victims) open(victim)
    // No later load is opened in this round: smaller ones would keep taking the memory that is being freed for this one.
    break
  }
  return { orders, state }
}
