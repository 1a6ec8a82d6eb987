import type { TrafficPlan } from '../experiment/types.js'

/** One request that is to be sent at a time, whatever became of those before it. */
export interface PlannedRequest {
  readonly index: number
  readonly traffic: TrafficPlan
  readonly atMs: number
  readonly model: string
  readonly adapter: string
  readonly prefixHint: string
  readonly prompt: string
}
