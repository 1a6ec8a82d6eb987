import { GAP_COUNT } from '../keepalive/constants.js'
import { adopt, freeMb, release, reserve, resize } from '../memory/ledger.js'
import { ASSUMED_LOAD_MS, LOAD_RETRY_MAX_MS, LOAD_RETRY_MS, SMOOTHING } from './constants.js'

import type { ModelId } from '@figmount/base'
import type { EngineOrder, Inventory, Resident } from '../engine/types.js'
import type { Ledger } from '../memory/types.js'
import type { AdapterSlot, EngineState, OrderOutcome, Slot } from './types.js'

/** A slot without a loaded model. */
export const coldSlot = (model: ModelId): Slot => ({
  model,
  phase: 'cold',
  version: '',
  fence: 0,
  memoryMb: 0,
  adapters: new Map(),
  orderedAtMs: 0,
  changedAtMs: 0,
  tier: 'remote',
  lastUsedMs: 0,
  loadMs: 0,
  pastGapsMs: [],
  notBeforeMs: 0,
  failureCount: 0,
  lastFailure: ''
})

export const findSlot = (state: EngineState, model: ModelId): Slot => state.slots.get(model) ?? coldSlot(model)

const putSlot = (state: EngineState, slot: Slot, ledger: Ledger = state.ledger): EngineState =>
  ({ ...state, ledger, slots: new Map(state.slots).set(slot.model, slot) })

const putAdapter = (slot: Slot, adapter: AdapterSlot): Slot =>
  ({ ...slot, adapters: new Map(slot.adapters).set(adapter.adapter, adapter) })

const dropAdapter = (slot: Slot, name: string): Slot =>
  ({ ...slot, adapters: new Map([...slot.adapters].filter(([adapter]) => adapter !== name)) })

/** Opens an order and reserves its memory; undefined if the memory does not fit or another order is open. */
export const openOrder = (state: EngineState, order: EngineOrder, nowMs: number): EngineState | undefined => {
  const slot = findSlot(state, order.model)
  if (slot.openOrder) return undefined
  const base = { ...slot, openOrder: order, orderedAtMs: nowMs, changedAtMs: nowMs, fence: Math.max(slot.fence, order.fence) }
  switch (order.kind) {
    case 'load': {
      if (slot.phase !== 'cold') return undefined
      const ledger = reserve(state.ledger, { model: order.model, adapter: '', memoryMb: order.memoryMb })
      if (!ledger) return undefined
      return putSlot(state, { ...base, phase: 'loading', version: order.version, memoryMb: order.memoryMb }, ledger)
    }
    case 'unload':
      return putSlot(state, { ...base, phase: 'unloading' })
    case 'loadAdapter': {
      const ledger = reserve(state.ledger, { model: order.model, adapter: order.adapter, memoryMb: order.memoryMb })
      if (!ledger || slot.phase !== 'ready') return undefined
      return putSlot(state, putAdapter(base, { adapter: order.adapter, phase: 'loading', memoryMb: order.memoryMb, lastUsedMs: nowMs }), ledger)
    }
    case 'unloadAdapter': {
      const adapter = slot.adapters.get(order.adapter)
      return adapter && putSlot(state, putAdapter(base, { ...adapter, phase: 'unloading' }))
    }
    default:
      return order satisfies never
  }
}

const afterFailure = (slot: Slot, reason: string, nowMs: number): Slot => {
  const failureCount = slot.failureCount + 1
  const pauseMs = Math.min(LOAD_RETRY_MAX_MS, LOAD_RETRY_MS * 2 ** (failureCount - 1))
  return { ...slot, failureCount, notBeforeMs: nowMs + pauseMs, lastFailure: reason }
}

const toCold = (slot: Slot): Slot => ({ ...slot, phase: 'cold', version: '', memoryMb: 0, adapters: new Map() })

const smooth = (known: number, measured: number): number => known === 0 ? measured : known + SMOOTHING * (measured - known)

const applyOutcome = (state: EngineState, order: EngineOrder, outcome: OrderOutcome, nowMs: number): EngineState => {
  const { openOrder: _open, ...before } = findSlot(state, order.model)
  const slot: Slot = { ...before, changedAtMs: nowMs }
  const isDone = outcome.kind === 'done'
  switch (order.kind) {
    case 'load': {
      if (isDone) {
        const tookMs = nowMs - slot.orderedAtMs
        const typicalLoadMs = slot.tier === 'remote' ? smooth(state.typicalLoadMs, tookMs) : state.typicalLoadMs
        const ready: Slot = { ...slot, phase: 'ready', loadMs: smooth(slot.loadMs, tookMs), failureCount: 0, notBeforeMs: 0, lastFailure: '' }
        return putSlot({ ...state, typicalLoadMs }, ready)
      }
      const cold = toCold(slot)
      // A full weight store is no failure of this model; the store's own backoff delays the next load.
      const failed = outcome.isStoreFull ? { ...cold, lastFailure: outcome.reason } : afterFailure(cold, outcome.reason, nowMs)
      return putSlot(state, failed, release(state.ledger, order.model, ''))
    }
    case 'unload': {
      if (outcome.kind === 'notDone') return putSlot(state, afterFailure({ ...slot, phase: 'ready' }, outcome.reason, nowMs))
      return putSlot(state, { ...toCold(slot), tier: 'memory' }, release(state.ledger, order.model, ''))
    }
    case 'loadAdapter': {
      const adapter = slot.adapters.get(order.adapter)
      if (isDone && adapter) return putSlot(state, putAdapter(slot, { ...adapter, phase: 'ready' }))
      const failed = outcome.kind === 'notDone' ? afterFailure(slot, outcome.reason, nowMs) : slot
      return putSlot(state, dropAdapter(failed, order.adapter), release(state.ledger, order.model, order.adapter))
    }
    case 'unloadAdapter': {
      const adapter = slot.adapters.get(order.adapter)
      if (!isDone && adapter) return putSlot(state, putAdapter(slot, { ...adapter, phase: 'ready' }))
      return putSlot(state, dropAdapter(slot, order.adapter), release(state.ledger, order.model, order.adapter))
    }
    default:
      return order satisfies never
  }
}

const adoptResident = (slot: Slot, resident: Resident, nowMs: number): Slot => ({
  ...slot,
  phase: resident.state === 'ready' ? 'ready' : 'loading',
  version: resident.version,
  fence: Math.max(slot.fence, resident.fence),
  memoryMb: resident.memoryMb,
  adapters: new Map(resident.adapters.map(({ adapter, memoryMb }) => [
    adapter,
    { adapter, memoryMb, phase: 'ready', lastUsedMs: slot.adapters.get(adapter)?.lastUsedMs ?? nowMs } satisfies AdapterSlot
  ]))
})

/** Opens an order for a load that an earlier run of the agent ordered and that is still running on the engine. */
const followLoad = (slot: Slot, nowMs: number): Slot => {
  if (slot.phase !== 'loading') return slot
  const { model, fence, version, memoryMb } = slot
  return { ...slot, orderedAtMs: nowMs, openOrder: { kind: 'load', model, fence, version, memoryMb, checkpointMb: 0 } }
}

const adoptMemory = (ledger: Ledger, resident: Resident): Ledger => {
  let next = adopt(release(ledger, resident.model, ''), { model: resident.model, adapter: '', memoryMb: resident.memoryMb })
  for (const { adapter, memoryMb } of resident.adapters) next = adopt(next, { model: resident.model, adapter, memoryMb })
  return next
}

/**
 * Updates slots and ledger from an inventory. Slots with an open order keep their reservation, because the order may
 * take effect after the inventory was taken. `sentAtMs` is when the inventory was requested: a slot whose order was
 * closed later is skipped, because the inventory may be older than that.
 */
export const reconcile = (state: EngineState, inventory: Inventory, sentAtMs: number, nowMs: number): EngineState => {
  const models = new Set([
    ...state.slots.keys(),
    ...inventory.residents.map(({ model }) => model),
    ...inventory.checkpoints.map(({ model }) => model)
  ])
  return reconcileModels(state, inventory, [...models], sentAtMs, nowMs)
}

const reconcileModels = (state: EngineState, inventory: Inventory, models: readonly ModelId[], sentAtMs: number, nowMs: number): EngineState => {
  const residents = new Map(inventory.residents.map(resident => [resident.model, resident]))
  const tiers = new Map(inventory.checkpoints.map(checkpoint => [checkpoint.model, checkpoint.tier]))
  let next: EngineState = { ...state, ledger: resize(state.ledger, inventory.memoryCapacityMb) }
  for (const model of models) {
    const slot = findSlot(next, model)
    if (slot.openOrder || slot.changedAtMs > sentAtMs) continue
    const resident = residents.get(model)
    const tier = tiers.get(model) ?? (resident ? 'memory' : 'remote')
    next = resident
      ? putSlot(next, followLoad({ ...adoptResident(slot, resident, nowMs), tier }, nowMs), adoptMemory(next.ledger, resident))
      : putSlot(next, { ...toCold(slot), tier }, release(next.ledger, model, ''))
  }
  return next
}

/** Closes a model's open order with its outcome; after a failure the slot is updated from the inventory that proved it. */
export const closeOrder = (state: EngineState, order: EngineOrder, outcome: OrderOutcome, nowMs: number): EngineState => {
  const closed = applyOutcome(state, order, outcome, nowMs)
  if (outcome.kind === 'done') return closed
  const residents = outcome.inventory.residents.filter(({ model }) => model === order.model)
  return reconcileModels(closed, { ...outcome.inventory, residents }, [order.model], nowMs, nowMs)
}

/** Records a use of a model or adapter. If `wasIdle`, no other run used the model before and an idle gap ends. */
export const recordUse = (state: EngineState, model: ModelId, adapter: string, wasIdle: boolean, nowMs: number): EngineState => {
  const slot = findSlot(state, model)
  const isGap = wasIdle && slot.lastUsedMs > 0
  const pastGapsMs = isGap ? [...slot.pastGapsMs, nowMs - slot.lastUsedMs].slice(-GAP_COUNT) : slot.pastGapsMs
  const used = slot.adapters.get(adapter)
  const touched = { ...slot, lastUsedMs: nowMs, pastGapsMs }
  return putSlot(state, used ? putAdapter(touched, { ...used, lastUsedMs: nowMs }) : touched)
}

/** Time since a model was last used or changed. */
export const idleForMs = (slot: Slot, nowMs: number): number => Math.max(0, nowMs - Math.max(slot.lastUsedMs, slot.changedAtMs))

/** Expected duration of a load: measured for the model, else for other models from the weight store, else assumed. */
export const expectedLoadMs = (state: Pick<EngineState, 'typicalLoadMs'>, slot: Slot): number => {
  if (slot.loadMs > 0) return slot.loadMs
  if (slot.tier === 'remote' && state.typicalLoadMs > 0) return state.typicalLoadMs
  return ASSUMED_LOAD_MS[slot.tier]
}

/** Delays the load of one model that the weight store refused; other models are not affected. */
export const delayLoad = (state: EngineState, model: ModelId, untilMs: number): EngineState => {
  const slot = findSlot(state, model)
  return putSlot(state, { ...slot, notBeforeMs: Math.max(slot.notBeforeMs, untilMs) })
}

/** Expected time until a model can serve; 0 if it is ready. */
export const readyInMs = (state: EngineState, slot: Slot, nowMs: number): number => {
  if (slot.phase === 'ready') return 0
  const loadMs = expectedLoadMs(state, slot)
  if (slot.phase === 'loading') return Math.max(0, slot.orderedAtMs + loadMs - nowMs)
  const heldBackMs = slot.tier === 'remote' ? Math.max(slot.notBeforeMs, state.store.notBeforeMs) : slot.notBeforeMs
  return Math.max(0, heldBackMs - nowMs) + loadMs
}

/** True if the engine's inventory exceeds its capacity. */
export const isOvercommitted = (state: EngineState): boolean => freeMb(state.ledger) < 0
