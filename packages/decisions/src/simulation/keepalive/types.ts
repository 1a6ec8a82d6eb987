import type { ModelId } from '@figmount/base'
import type { ChooseVictims } from '../../eviction/types.js'
import type { PlanPreload } from '../../keepalive/planPreload.js'
import type { IdleView } from '../../keepalive/types.js'

/** A model or an adapter, fixed to the runner that holds its right. */
export interface Item {
  readonly model: ModelId
  /** Empty for the model itself. */
  readonly adapter: string
  readonly runner: number
  readonly memoryMb: number
  readonly loadMs: number
}

/** One use of a model, and perhaps of an adapter, by a caller. */
export interface Use {
  readonly atMs: number
  readonly modelIndex: number
  /** Index into the adapters of the deployment; undefined for the bare model. */
  readonly adapterIndex?: number
  readonly busyMs: number
}

/** A site with the history of its uses. */
export interface Deployment {
  readonly name: string
  readonly runnerCount: number
  readonly runnerMemoryMb: number
  readonly storeLoadsPerSecond: number
  readonly models: readonly Item[]
  readonly adapters: readonly Item[]
  readonly uses: readonly Use[]
  readonly durationMs: number
  /** Uses before it only build up the histories. */
  readonly measuredFromMs: number
}

/** A keep-alive function that may look at the true time until the next use, for the bound with hindsight. */
export type KeepWithHindsight = (view: IdleView, nextUseInMs: number) => number

export interface KeepPolicies {
  readonly keep: KeepWithHindsight
  readonly planPreload: PlanPreload
  readonly chooseVictims: ChooseVictims
  readonly idleCostWeight: number
}

/** What callers and the operator see of one run. */
export interface KeepMeasures {
  readonly useCount: number
  readonly coldCount: number
  /** Waiting time for loads over all uses. */
  readonly p95WaitMs: number
  readonly p99WaitMs: number
  readonly p999WaitMs: number
  readonly meanWaitMs: number
  /** Memory held by idle models in accelerators, in hours a day. */
  readonly idleHoursPerDay: number
  readonly loadCount: number
}
