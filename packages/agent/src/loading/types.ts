import type { LogOffset, ModelId } from '@figmount/base'
import type { ModelSpec } from '@figmount/records'
import type { EngineOrder, Inventory, Tier } from '../engine/types.js'
import type { Ledger } from '../memory/types.js'

/** A replica right that this agent holds. */
export interface HeldSlot {
  readonly model: ModelId
  readonly slotIndex: number
  readonly fence: LogOffset
  /** The right is to be given back. */
  readonly revoked: boolean
}

export type SlotPhase = 'cold' | 'loading' | 'ready' | 'unloading'

/** An adapter that is resident or has an open order. */
export interface AdapterSlot {
  readonly adapter: string
  readonly phase: 'loading' | 'ready' | 'unloading'
  readonly memoryMb: number
  readonly lastUsedMs: number
}

/** A model on the engine: what the engine is known to hold of it, and the open order if there is one. */
export interface Slot {
  readonly model: ModelId
  readonly phase: SlotPhase
  /** Version that is resident or being loaded; empty when cold. */
  readonly version: string
  /** Fence of the last order or of the inventory. */
  readonly fence: number
  readonly memoryMb: number
  readonly adapters: ReadonlyMap<string, AdapterSlot>
  readonly openOrder?: EngineOrder
  readonly orderedAtMs: number
  /** When an order was last opened or closed. */
  readonly changedAtMs: number
  /** Where the checkpoint was last known to be. */
  readonly tier: Tier
  readonly lastUsedMs: number
  /** Smoothed time that a load took, in ms; 0 when none is known. */
  readonly loadMs: number
  /** Gaps between uses, newest last. */
  readonly pastGapsMs: readonly number[]
  /** No load before this, after a failed one. */
  readonly notBeforeMs: number
  readonly failureCount: number
  readonly lastFailure: string
}

/** Pace of loads from the weight store. */
export interface StoreBackoff {
  readonly notBeforeMs: number
  readonly failureCount: number
}

/** Everything that the agent knows of its engine's memory. */
export interface EngineState {
  readonly slots: ReadonlyMap<ModelId, Slot>
  readonly ledger: Ledger
  readonly store: StoreBackoff
  /** Smoothed time of loads from the weight store over all models, in ms; 0 when none is known. */
  readonly typicalLoadMs: number
}

/** Who waits for a model. Times are monotonic ms. */
export interface Demand {
  readonly waitingCount: number
  readonly runningCount: number
  readonly highestPriority: number
  readonly earliestDeadlineMs: number
  readonly askedAtMs: number
  /** Version that the request at the head wants. */
  readonly version: string
  /** Adapters wanted by waiting requests. */
  readonly wantedAdapters: ReadonlySet<string>
  readonly runningAdapters: ReadonlySet<string>
}

/** A model as configured, with what its service says of it. */
export interface ModelPlan {
  readonly spec: ModelSpec
  readonly idleCostWeight: number
}

export type OrderOutcome =
  | { readonly kind: 'done', readonly tookMs: number }
  /** `inventory` shows what the engine holds instead. */
  | { readonly kind: 'notDone', readonly reason: string, readonly isStoreFull: boolean, readonly inventory: Inventory }
