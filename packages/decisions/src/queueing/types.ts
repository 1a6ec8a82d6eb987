import type { CallerName, ModelId } from '@figmount/base'

/** A request that waits at an agent. Times are monotonic ms of that agent. */
export interface WaitingRequest<Id extends string = string> {
  readonly id: Id
  readonly model: ModelId
  readonly adapter: string
  readonly caller: CallerName
  readonly tenant: string
  readonly share: number
  readonly priority: number
  /** Expected tokens, with the prompt's work added as the tokens that take as long. */
  readonly expectedTokens: number
  /** Tokens that most requests of this kind stay under; `expectedTokens` when left out. */
  readonly boundTokens?: number
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
}

/** Past service of callers and tenants, for fairness; a value that the queue hands back with each pick. */
export interface FairnessState {
  /** Weighted tokens served, by tenant and by caller, decayed over time. */
  readonly servedByTenant: ReadonlyMap<string, number>
  readonly servedByCaller: ReadonlyMap<CallerName, number>
  /** Tokens served of each priority over its weight; nothing yet when left out. */
  readonly servedByPriority?: ReadonlyMap<number, number>
  readonly asOfMs: number
}

/** Picks who is served next among those whose model is ready; undefined when nobody is. */
export type PickNext = <Id extends string>(waiting: readonly WaitingRequest<Id>[], fairness: FairnessState, nowMs: number) => WaitingRequest<Id> | undefined

/** Accounts tokens that were served. */
export type AccountServed = (fairness: FairnessState, request: WaitingRequest, tokenCount: number, nowMs: number) => FairnessState

/** Expected tokens that are served before `request`, which is not among `waiting`. */
export type EstimateAhead = (waiting: readonly WaitingRequest[], request: WaitingRequest, fairness: FairnessState, nowMs: number) => number

/** What runs at an agent, as far as the limit on long requests needs it. */
export interface RunningView {
  /** Requests that the engine runs at once. */
  readonly batchSlots: number
  readonly running: readonly WaitingRequest[]
  /** Mean expected tokens of the requests that were served of late. */
  readonly meanTokens: number
}

/** Names those of the waiting requests that may start now. */
export type LimitLong = <Id extends string>(waiting: readonly WaitingRequest<Id>[], view: RunningView) => readonly WaitingRequest<Id>[]

/** Names waiting requests that should be refused now, "not run". */
export type ShedWaiting = <Id extends string>(waiting: readonly WaitingRequest<Id>[], tokenIntervalMs: number, nowMs: number) => readonly WaitingRequest<Id>[]
