import type { ModelId } from '@figmount/base'
import type { ChooseVictims } from '../../eviction/types.js'
import type { PlanPreload } from '../../keepalive/planPreload.js'
import type { IdleView } from '../../keepalive/types.js'

/** A model or an adapter on the runner that it is assigned to. */
export interface Item {
  readonly model: ModelId
  /** Empty for the model itself. */
  readonly adapter: string
  readonly runner: number
  readonly memoryMb: number
  readonly loadMs: number
}

/** One use of a model, possibly with an adapter, by a caller. */
export interface Use {
  readonly atMs: number
  readonly modelIndex: number
  /** Index into the deployment's adapters; undefined without an adapter. */
  readonly adapterIndex?: number
  readonly busyMs: number
}

/** A site with the uses of its models over time. */
export interface Deployment {
  readonly name: string
  readonly runnerCount: number
  readonly runnerMemoryMb: number
  readonly storeLoadsPerSecond: number
  readonly models: readonly Item[]
  readonly adapters: readonly Item[]
  readonly uses: readonly Use[]
  readonly durationMs: number
  /** Earlier uses only build up the gap histories. */
  readonly measuredFromMs: number
}

/** A keep-alive function that also gets the actual time until the next use, for the optimum with hindsight. */
export type KeepWithHindsight = (view: IdleView, nextUseInMs: number) => number

export interface KeepPolicies {
  readonly keep: KeepWithHindsight
  readonly planPreload: PlanPreload
  readonly chooseVictims: ChooseVictims
  readonly idleCostWeight: number
}

/** Results of one run for callers and the operator. */
export interface KeepMeasures {
  readonly useCount: number
  readonly coldCount: number
  /** Percentiles of the time that uses waited for loads. */
  readonly p95WaitMs: number
  readonly p99WaitMs: number
  readonly p999WaitMs: number
  readonly meanWaitMs: number
  /** Accelerator memory occupied by idle models, in hours of a full runner per day. */
  readonly idleHoursPerDay: number
  readonly loadCount: number
}
