import type { ModelId } from '@figmount/base'

/** Memory used by one model (empty adapter) or by one of its adapters. */
export interface Holding {
  readonly model: ModelId
  readonly adapter: string
  readonly memoryMb: number
}

/**
 * The agent's account of the memory in use on its engine. A holding is added before the load order is sent and removed
 * only when the engine is known not to hold it.
 */
export interface Ledger {
  readonly capacityMb: number
  /** Reserved for the KV cache. */
  readonly kvCacheMb: number
  /** Keyed by `holdingId`. */
  readonly holdings: ReadonlyMap<string, Holding>
}
