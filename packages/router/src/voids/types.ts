import type { EitherAsync } from 'purify-ts'
import type { Fault, InstanceName, LogOffset, ModelId } from '@figmount/base'

/** The part of an engine's inventory that a void rests on. */
export interface EngineInventory {
  readonly models: readonly string[]
  readonly enforcesFence: boolean
}

/** The calls to the engine of an instance that is off the list. */
export interface AbsentEngine {
  readonly inventory: () => EitherAsync<Fault, EngineInventory>
  readonly unload: (model: string, fence: LogOffset) => EitherAsync<Fault, void>
}

/** An engine that is to give up everything it holds for an instance. */
export interface Eviction {
  readonly instance: InstanceName
  /** Models that the instance holds rights for, loaded or not: each gets the newer fence. */
  readonly models: readonly ModelId[]
  /** Above the fence of every grant so far, not above that of any later one. */
  readonly fence: LogOffset
}
