import type { EitherAsync } from 'purify-ts'
import type { Fault, InstanceName, LogOffset, ModelId } from '@figmount/base'

/** The part of an engine's inventory that decides whether the rights of its instance may be voided. */
export interface EngineInventory {
  readonly models: readonly string[]
  readonly enforcesFence: boolean
}

/** Client for the engine of an instance that is no longer on the platform's list. */
export interface AbsentEngine {
  readonly inventory: () => EitherAsync<Fault, EngineInventory>
  readonly unload: (model: string, fence: LogOffset) => EitherAsync<Fault, void>
}

/** Order to an engine to unload everything that an instance has rights for. */
export interface Eviction {
  readonly instance: InstanceName
  /** Models that the instance holds rights for, whether loaded or not; each is unloaded under the newer fence. */
  readonly models: readonly ModelId[]
  /** Higher than the fence of every grant so far, but not than that of later grants. */
  readonly fence: LogOffset
}
