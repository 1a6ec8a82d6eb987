import type { LogOffset, ModelId } from '@figmount/base'
import type { ModelSpec } from '@figmount/records'
import type { EngineOrder, Inventory, Tier } from '../engine/types.js'
import type { Ledger } from '../memory/types.js'

/** A replica right held by this agent. */
export interface HeldSlot {
  readonly model: ModelId
  readonly slotIndex: number
  readonly fence: LogOffset
  /** True if the right has to be released. */
  readonly revoked: boolean
}

export type SlotPhase = 'cold' | 'loading' | 'ready' | 'unloading'

/** An adapter that is loaded or has an open order. */
export interface AdapterSlot {
  readonly adapter: string
  readonly phase: 'loading' | 'ready' | 'unloading'
  readonly memoryMb: number
  readonly lastUsedMs: number
}

/** The state of a model on the engine, with its open order if there is one. */
export interface Slot {
  readonly model: ModelId
  readonly phase: SlotPhase
  /** Version that is loaded or being loaded; empty when cold. */
  readonly version: string
  /** The highest fence seen in an order or an inventory. */
  readonly fence: number
  readonly memoryMb: number
  readonly adapters: ReadonlyMap<string, AdapterSlot>
  readonly openOrder?: EngineOrder
  readonly orderedAtMs: number
  /** When an order was last opened or closed. */
  readonly changedAtMs: number
  /** Last known location of the checkpoint. */
  readonly tier: Tier
  readonly lastUsedMs: number
  /** Smoothed duration of this model's loads, in ms; 0 if unknown. */
  readonly loadMs: number
  /** Idle gaps between uses, newest last. */
  readonly pastGapsMs: readonly number[]
  /** Earliest time of the next load after a failed one. */
  readonly notBeforeMs: number
  readonly failureCount: number
  readonly lastFailure: string
}

/** Backoff of loads from the weight store after it refused some. */
export interface StoreBackoff {
  readonly notBeforeMs: number
  readonly failureCount: number
}

/** The agent's view of the models on its engine and their memory. */
export interface EngineState {
  readonly slots: ReadonlyMap<ModelId, Slot>
  readonly ledger: Ledger
  readonly store: StoreBackoff
  /** Smoothed duration of loads from the weight store over all models, in ms; 0 if unknown. */
  readonly typicalLoadMs: number
}

/** The waiting and running requests of a model. Times are monotonic ms. */
export interface Demand {
  readonly waitingCount: number
  readonly runningCount: number
  readonly highestPriority: number
  readonly earliestDeadlineMs: number
  readonly askedAtMs: number
  /** Version wanted by the request that has waited longest. */
  readonly version: string
  /** Adapters wanted by waiting requests. */
  readonly wantedAdapters: ReadonlySet<string>
  readonly runningAdapters: ReadonlySet<string>
}

/** A model as configured, with the settings of its service. */
export interface ModelPlan {
  readonly spec: ModelSpec
  readonly idleCostWeight: number
}

/** The confirmed result of an order. */
export type OrderOutcome =
  | { readonly kind: 'done', readonly tookMs: number }
  /** `inventory` shows that the order had no effect; the slot is updated from it. */
  | { readonly kind: 'notDone', readonly reason: string, readonly isStoreFull: boolean, readonly inventory: Inventory }
