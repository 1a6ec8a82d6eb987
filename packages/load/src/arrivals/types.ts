import type { TrafficPlan } from '../experiment/types.js'

/** One request and the time at which it is sent, independent of earlier requests. */
export interface PlannedRequest {
  readonly index: number
  readonly traffic: TrafficPlan
  readonly atMs: number
  readonly model: string
  readonly adapter: string
  readonly prefixHint: string
  readonly prompt: string
}
