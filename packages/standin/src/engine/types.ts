import type { EventLog, Metrics, TimerService } from '@figmount/base'
import type { EngineSettings } from './settings.js'

/** A model in accelerator memory, or one that is being loaded into it. */
export interface ResidentEntry {
  readonly model: string
  readonly version: string
  readonly fence: number
  readonly memoryMb: number
  readonly state: 'loading' | 'ready'
  readonly adapters: ReadonlyMap<string, number>
}

/** The resident models, by name, and the capacity of the engine's accelerator memory. */
export interface MemoryState {
  readonly capacityMb: number
  readonly residents: ReadonlyMap<string, ResidentEntry>
}

export interface EngineContext {
  readonly settings: EngineSettings
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  readonly instance: string
}

/** Where a checkpoint is stored: host memory, local disk or the weight store. */
export type Tier = 'memory' | 'disk' | 'remote'
