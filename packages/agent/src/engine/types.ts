import type { EitherAsync } from 'purify-ts'
import type { Fault, ModelId } from '@figmount/base'
import type { FinishReason } from '@figmount/schema'

/** An order to the engine. `fence` is the fencing token: the log offset of the grant that permits it. */
export type EngineOrder =
  | { readonly kind: 'load', readonly model: ModelId, readonly fence: number, readonly version: string, readonly memoryMb: number, readonly checkpointMb: number }
  | { readonly kind: 'unload', readonly model: ModelId, readonly fence: number }
  | { readonly kind: 'loadAdapter', readonly model: ModelId, readonly fence: number, readonly adapter: string, readonly memoryMb: number }
  | { readonly kind: 'unloadAdapter', readonly model: ModelId, readonly fence: number, readonly adapter: string }

export type Tier = 'memory' | 'disk' | 'remote'

export interface OrderDone {
  readonly tookMs: number
}

export interface Resident {
  readonly model: ModelId
  readonly version: string
  readonly fence: number
  readonly memoryMb: number
  readonly state: 'loading' | 'ready'
  readonly adapters: ReadonlyArray<{ readonly adapter: string, readonly memoryMb: number }>
}

/** The models and memory that the engine reports. */
export interface Inventory {
  readonly incarnation: string
  readonly memoryCapacityMb: number
  readonly memoryUsedMb: number
  readonly batchSize: number
  readonly enforcesFence: boolean
  readonly residents: readonly Resident[]
  readonly checkpoints: ReadonlyArray<{ readonly model: ModelId, readonly version: string, readonly tier: Tier }>
}

export interface GenerateArgs {
  readonly streamId: string
  readonly model: ModelId
  readonly version: string
  readonly adapter: string
  readonly prompt: string
  readonly prefixHint: string
  readonly maxTokens: number
  readonly priority: number
  readonly doneTokens: readonly string[]
}

export interface Chunk {
  readonly firstTokenIndex: number
  readonly tokens: readonly string[]
  readonly last: boolean
  readonly finishReason: FinishReason
  readonly kvUsedMb: number
}

/** Calls to a backend server that runs models. Streams throw the library's errors; orders return faults as values. */
export interface EngineClient {
  readonly address: string
  readonly order: (order: EngineOrder, signal: AbortSignal) => EitherAsync<Fault, OrderDone>
  readonly inventory: () => EitherAsync<Fault, Inventory>
  readonly generate: (args: GenerateArgs, signal: AbortSignal) => AsyncIterable<Chunk>
  /** Resumes an existing generation over a new connection. */
  readonly resume: (streamId: string, fromTokenIndex: number, signal: AbortSignal) => AsyncIterable<Chunk>
  readonly cancel: (streamId: string) => EitherAsync<Fault, boolean>
}
