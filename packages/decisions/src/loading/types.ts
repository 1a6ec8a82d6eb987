import type { ModelId } from '@figmount/base'

/** A load that waits for the weight store. */
export interface WaitingLoad {
  readonly model: ModelId
  readonly waitingCount: number
  readonly highestPriority: number
  readonly earliestDeadlineMs: number
  readonly askedAtMs: number
  readonly checkpointMb: number
  readonly tier: 'memory' | 'disk' | 'remote'
}

/** Sorts waiting loads, the one to start first in front. */
export type OrderLoads = (loads: readonly WaitingLoad[], nowMs: number) => readonly WaitingLoad[]
