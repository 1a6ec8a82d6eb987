import type { ModelId } from '@figmount/base'

/** A loaded model or adapter as a candidate for eviction. */
export interface ResidentView {
  readonly model: ModelId
  /** Empty for the model itself; evicting a model evicts its adapters. */
  readonly adapter: string
  readonly memoryMb: number
  readonly runningCount: number
  readonly queuedCount: number
  readonly idleMs: number
  /** Expected time to load it again. */
  readonly reloadMs: number
  readonly priority: number
  /** Expected requests per hour. */
  readonly requestsPerHour: number
  /** The configuration keeps it loaded. */
  readonly pinned: boolean
}

/** Chooses residents to unload so that `neededMb` more become free; undefined when that is impossible. */
export type ChooseVictims = (residents: readonly ResidentView[], neededMb: number) => readonly ResidentView[] | undefined
