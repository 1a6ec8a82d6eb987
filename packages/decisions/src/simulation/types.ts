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
  /** Routers receive queue lengths by priority, so that only work ahead of an urgent request counts for it. */
  readonly seesPriorities: boolean
  /** Retries of a router are limited by budgets; otherwise only by `SimulationConstants.routerTries`. */
  readonly hasRetryBudget: boolean
}

/** One request of a caller, which resends it if necessary. */
export interface SimulatedRequest {
  readonly id: string
  readonly atMs: number
  readonly caller: CallerName
  readonly tenant: string
  readonly share: number
  readonly model: ModelId
  readonly priority: number
  readonly tokens: number
  /** Length that the router expects; the actual length is `tokens`. */
  readonly expectedTokens: number
  /** Time that the caller waits for one attempt. */
  readonly patienceMs: number
  /** Requests with the same prefix share the beginning of their prompts; empty for none. */
  readonly prefix: string
}

export interface SimulatedModel {
  readonly model: ModelId
  readonly memoryMb: number
  readonly loadMs: number
  /** Indices of the servers that may hold a replica. */
  readonly servers: readonly number[]
  /** The model is loaded at the start. */
  readonly isWarm: boolean
}

/** A period of degraded service. */
export interface Disturbance {
  readonly fromMs: number
  readonly toMs: number
  /** Index of the affected server; all when omitted. */
  readonly server?: number
  /** Factor by which the server is slower; `Infinity` when it is down. */
  readonly slowness: number
}

/** One load pattern: the requests, the fleet and its disturbances. */
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
  /** Selects requests that are also measured separately, such as those of the other callers. */
  readonly isObserved?: (request: SimulatedRequest) => boolean
}

/** One attempt to get a request served. */
export interface Attempt {
  readonly request: SimulatedRequest
  readonly resendCount: number
  readonly sentAtMs: number
  readonly deadlineAtMs: number
  /** Tokens that another server has already generated for it; `firstTokenAtMs` is when the first one arrived. */
  readonly doneTokens: number
  readonly firstTokenAtMs?: number
}

/** Outcome of one attempt as its caller sees it. */
export type Outcome =
  | { readonly kind: 'served', readonly firstTokenAtMs: number }
  | { readonly kind: 'refused', readonly retryAfterMs: number }
  /** The deadline passed without an answer. */
  | { readonly kind: 'missed' }
  /** The server went down during the attempt. */
  | { readonly kind: 'failed' }
