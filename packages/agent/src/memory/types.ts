import type { ModelId } from '@figmount/base'

/** Names memory that one model (empty adapter) or one of its adapters takes. */
export interface Holding {
  readonly model: ModelId
  readonly adapter: string
  readonly memoryMb: number
}

/**
 * What the agent counts as taken on its engine. An entry is made before the order to load leaves and goes
 * only when the engine is known not to hold it.
 */
export interface Ledger {
  readonly capacityMb: number
  /** Set aside for KV cache. */
  readonly kvCacheMb: number
  /** By `holdingId`. */
  readonly holdings: ReadonlyMap<string, Holding>
}
