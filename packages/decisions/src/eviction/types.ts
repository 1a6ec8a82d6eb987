import type { ModelId } from '@figmount/base'

/** A resident model or adapter as eviction sees it. */
export interface ResidentView {
  readonly model: ModelId
  /** Empty for the model itself; evicting a model evicts its adapters. */
  readonly adapter: string
  readonly memoryMb: number
  readonly runningCount: number
  readonly queuedCount: number
  readonly idleMs: number
  /** Expected time to bring it back. */
  readonly reloadMs: number
  readonly priority: number
  /** Expected requests per hour. */
  readonly requestsPerHour: number
  /** True when the configuration keeps it loaded. */
  readonly pinned: boolean
}

/** Picks what to unload so that `neededMb` more become free; undefined when that cannot be had. */
export type ChooseVictims = (residents: readonly ResidentView[], neededMb: number) => readonly ResidentView[] | undefined
