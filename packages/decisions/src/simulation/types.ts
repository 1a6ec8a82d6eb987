import type { CallerName, ModelId } from '@figmount/base'
import type { Admit } from '../admission/types.js'
import type { ChooseVictims } from '../eviction/types.js'
import type { OrderLoads } from '../loading/types.js'
import type { AccountServed, EstimateAhead, LimitLong, PickNext, ShedWaiting } from '../queueing/types.js'
import type { ChooseRetryAfter } from '../retries/types.js'
import type { ChooseMove } from '../routing/moveStream.js'
import type { ChooseBackend } from '../routing/types.js'

/** The decision functions of one run. */
export interface Policies {
  readonly chooseBackend: ChooseBackend
  readonly pickNext: PickNext
  readonly accountServed: AccountServed
  readonly estimateAhead: EstimateAhead
  readonly limitLong: LimitLong
  readonly shedWaiting: ShedWaiting
  readonly admit: Admit
  readonly chooseVictims: ChooseVictims
  readonly orderLoads: OrderLoads
  readonly chooseRetryAfter: ChooseRetryAfter
  readonly chooseMove: ChooseMove
  /** True when routers know the queues by priority, so that an urgent request sees what is ahead of it only. */
  readonly seesPriorities: boolean
  /** True when a router's own retries are bounded by budgets; otherwise it retries up to `ROUTER_TRIES`. */
  readonly hasRetryBudget: boolean
}

/** One request of one caller; resends are made by the simulated caller. */
export interface SimulatedRequest {
  readonly id: string
  readonly atMs: number
  readonly caller: CallerName
  readonly tenant: string
  readonly share: number
  readonly model: ModelId
  readonly priority: number
  readonly tokens: number
  /** What the router expects; the truth is `tokens`. */
  readonly expectedTokens: number
  /** Patience of the caller for one attempt. */
  readonly patienceMs: number
  /** Requests with the same prefix share a prompt; empty for none. */
  readonly prefix: string
}

export interface SimulatedModel {
  readonly model: ModelId
  readonly memoryMb: number
  readonly loadMs: number
  /** Indices of the servers that hold a replica right. */
  readonly servers: readonly number[]
  /** Loaded at the start. */
  readonly isWarm: boolean
}

/** A stretch of time in which something is wrong. */
export interface Disturbance {
  readonly fromMs: number
  readonly toMs: number
  /** Servers concerned; all when left out. */
  readonly server?: number
  /** How many times slower it is; `Infinity` when it is down. */
  readonly slowness: number
}

/** One load pattern: what arrives, on what fleet, and what goes wrong. */
export interface Scenario {
  readonly name: string
  readonly durationMs: number
  readonly serverCount: number
  readonly routerCount: number
  /** Requests that one server runs at the same time. */
  readonly batchSlots: number
  readonly memoryMb: number
  readonly models: readonly SimulatedModel[]
  readonly requests: readonly SimulatedRequest[]
  readonly disturbances: readonly Disturbance[]
  /** Requests of this kind are measured apart, such as those of the quiet callers. */
  readonly isObserved?: (request: SimulatedRequest) => boolean
}

/** A request on its way, with what its caller knows. */
export interface Attempt {
  readonly request: SimulatedRequest
  readonly resendCount: number
  readonly sentAtMs: number
  readonly deadlineAtMs: number
  /** Tokens that another server made of it, and when the first one came. */
  readonly doneTokens: number
  readonly firstTokenAtMs?: number
}

/** What a caller hears of one attempt. */
export type Outcome =
  | { readonly kind: 'served', readonly firstTokenAtMs: number }
  | { readonly kind: 'refused', readonly retryAfterMs: number }
  /** Its deadline passed without an answer. */
  | { readonly kind: 'missed' }
  /** Its server went down while it ran. */
  | { readonly kind: 'failed' }
