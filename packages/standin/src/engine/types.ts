import type { EventLog, Metrics, TimerService } from '@figmount/base'
import type { EngineSettings } from './settings.js'

/** A model in accelerator memory, or on its way there. */
export interface ResidentEntry {
  readonly model: string
  readonly version: string
  readonly fence: number
  readonly memoryMb: number
  readonly state: 'loading' | 'ready'
  readonly adapters: ReadonlyMap<string, number>
}

/** What the engine's memory holds. */
export interface MemoryState {
  readonly capacityMb: number
  readonly residents: ReadonlyMap<string, ResidentEntry>
}

export interface EngineParts {
  readonly settings: EngineSettings
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  readonly instance: string
}

/** Where a checkpoint lies. */
export type Tier = 'memory' | 'disk' | 'remote'
