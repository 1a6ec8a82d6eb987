import { runInBackground } from '@figmount/base'
import { AgentEvent } from '../events.js'
import { emptyLedger, usedMb } from '../memory/ledger.js'
import { STORE_SPACING_MS, UNMEASURED_LOAD_MS } from './constants.js'
import { followOrder } from './followOrder.js'
import { planOrders } from './planOrders.js'
import { closeOrder, expectedLoadMs, findSlot, delayLoad, isOvercommitted, reconcile, recordUse } from './slots.js'
import { afterStoreLoad, noBackoff, delayStoreLoads } from './storePace.js'

import type { EventFields, EventLog, ModelId, TimerService } from '@figmount/base'
import type { ChooseLoadBackoff } from '@figmount/decisions'
import type { EngineClient, EngineOrder, Inventory } from '../engine/types.js'
import type { PlanView } from './planOrders.js'
import type { EngineState, OrderOutcome, Slot } from './types.js'

interface Options {
  readonly engine: EngineClient
  readonly timers: TimerService
  readonly events: EventLog
  readonly kvCacheMb: number
  readonly backOffLoad: ChooseLoadBackoff
  readonly random: () => number
  /** Called when an order has ended. */
  readonly onChange: () => void
}

export type PlanInputs = Omit<PlanView, 'state' | 'nowMs'>

/** Manages the models of one engine: plans orders, follows them to their result and keeps the memory ledger. */
export interface Loader {
  readonly state: () => EngineState
  readonly plan: (inputs: PlanInputs) => void
  readonly takeInventory: (inventory: Inventory, askedAtMs: number) => void
  readonly recordUse: (model: ModelId, adapter: string, wasIdle: boolean) => void
  readonly openOrderCount: () => number
  readonly stop: () => void
}

const ORDERED = {
  load: AgentEvent.loadOrdered,
  unload: AgentEvent.unloadOrdered,
  loadAdapter: AgentEvent.adapterLoadOrdered,
  unloadAdapter: AgentEvent.adapterUnloadOrdered
} as const

const DONE = {
  load: AgentEvent.loadReady,
  unload: AgentEvent.unloadConfirmed,
  loadAdapter: AgentEvent.adapterReady,
  unloadAdapter: AgentEvent.adapterUnloadConfirmed
} as const

const FAILED = {
  load: AgentEvent.loadFailed,
  unload: AgentEvent.unloadFailed,
  loadAdapter: AgentEvent.adapterLoadFailed,
  unloadAdapter: AgentEvent.adapterUnloadFailed
} as const

/** Creates the loader of one engine. */
export const createLoader = ({ engine, timers, events, kvCacheMb, backOffLoad, random, onChange }: Options): Loader => {
  let state: EngineState = { slots: new Map(), ledger: emptyLedger(0, kvCacheMb), store: noBackoff, typicalLoadMs: 0 }
  let lastInputs: PlanInputs | undefined
  const stopping = new AbortController()
  const followed = new Set<EngineOrder>()

  const fieldsOf = (order: EngineOrder): EventFields => {
    const right = lastInputs?.rights.get(order.model)
    const maxReplicas = lastInputs?.planOf(order.model)?.spec.maxReplicas
    return {
      model: order.model,
      fence: order.fence,
      memoryMb: usedMb(state.ledger),
      memoryCapacityMb: state.ledger.capacityMb,
      ...(right ? { slotIndex: right.slotIndex } : {}),
      ...(maxReplicas === undefined ? {} : { maxReplicas }),
      ...('adapter' in order ? { adapter: order.adapter } : {}),
      version: order.kind === 'load' ? order.version : findSlot(state, order.model).version
    }
  }

  const backOffFromStore = (order: EngineOrder, slot: Slot, outcome: OrderOutcome): void => {
    if (order.kind !== 'load') return
    if (outcome.kind === 'done') {
      if (slot.tier === 'remote') state = { ...state, store: afterStoreLoad(state.store) }
      return
    }
    if (!outcome.isStoreFull) return
    const demand = lastInputs?.demands.get(order.model)
    const nowMs = timers.nowMs()
    const view = {
      waitingCount: demand?.waitingCount ?? 0,
      highestPriority: demand?.highestPriority ?? 0,
      refusedCount: state.store.failureCount,
      waitedMs: demand ? nowMs - demand.askedAtMs : 0,
      // The backoff grows with the load's duration. An assumption that is too long would delay a load for longer than it takes.
      loadMs: state.typicalLoadMs > 0 ? expectedLoadMs(state, slot) : UNMEASURED_LOAD_MS
    }
    const waitMs = backOffLoad(view, random)
    // Only this model gets the full backoff, so that a load with little demand does not delay loads that many requests
    // wait for. All loads of the agent together are only spaced apart.
    state = delayLoad({ ...state, store: delayStoreLoads(state.store, STORE_SPACING_MS, nowMs) }, order.model, nowMs + waitMs)
    events.emit(AgentEvent.storeBackedOff, { model: order.model, count: view.waitingCount, waitMs: Math.round(waitMs) })
  }

  const close = (order: EngineOrder, outcome: OrderOutcome): void => {
    const slot = findSlot(state, order.model)
    const before = fieldsOf(order)
    state = closeOrder(state, order, outcome, timers.nowMs())
    backOffFromStore(order, slot, outcome)
    const fields = { ...before, memoryMb: usedMb(state.ledger), durationMs: Math.round(timers.nowMs() - slot.orderedAtMs) }
    if (outcome.kind === 'done') return events.emit(DONE[order.kind], fields)
    events.emit(FAILED[order.kind], { ...fields, reason: outcome.reason })
  }

  const follow = async (order: EngineOrder, shouldSend: boolean): Promise<void> => {
    followed.add(order)
    const outcome = await followOrder({ engine, timers, events, order, shouldSend, signal: stopping.signal })
    followed.delete(order)
    if (!outcome) return
    close(order, outcome)
    onChange()
  }

  const followOpen = (shouldSend: boolean): void => {
    for (const slot of state.slots.values()) {
      if (slot.openOrder && !followed.has(slot.openOrder)) runInBackground(events, 'loading.follow', follow(slot.openOrder, shouldSend))
    }
  }

  return {
    state: () => state,
    plan: inputs => {
      lastInputs = inputs
      // While the engine holds more than fits, nothing is loaded; necessary unloads are still ordered.
      const mayLoad = inputs.mayLoad && !isOvercommitted(state)
      const plan = planOrders({ ...inputs, mayLoad, state, nowMs: timers.nowMs() })
      state = plan.state
      for (const order of plan.orders) events.emit(ORDERED[order.kind], fieldsOf(order))
      followOpen(true)
    },
    takeInventory: (inventory, askedAtMs) => {
      const before = usedMb(state.ledger)
      state = reconcile(state, inventory, askedAtMs, timers.nowMs())
      const after = usedMb(state.ledger)
      if (before !== after) events.emit(AgentEvent.inventoryDiffers, { peer: engine.address, memoryMb: after, memoryCapacityMb: state.ledger.capacityMb })
      followOpen(false)
    },
    recordUse: (model, adapter, wasIdle) => { state = recordUse(state, model, adapter, wasIdle, timers.nowMs()) },
    openOrderCount: () => followed.size,
    stop: () => stopping.abort()
  }
}
