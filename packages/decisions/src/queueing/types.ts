import type { CallerName, ModelId } from '@figmount/base'

/** A request that waits at an agent. Times are in ms of that agent's monotonic clock. */
export interface WaitingRequest<Id extends string = string> {
  readonly id: Id
  readonly model: ModelId
  readonly adapter: string
  readonly caller: CallerName
  readonly tenant: string
  readonly share: number
  readonly priority: number
  /** Expected tokens of the answer, plus the cost of the prompt converted to tokens that take as long. */
  readonly expectedTokens: number
  /** Upper bound on the tokens, which most requests of this kind stay below; `expectedTokens` when omitted. */
  readonly boundTokens?: number
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
}

/** Tokens that callers and tenants were served, for fairness. A plain value that is replaced by each accounting. */
export interface FairnessState {
  /** Weighted tokens served per tenant and per caller, decayed over time. */
  readonly servedByTenant: ReadonlyMap<string, number>
  readonly servedByCaller: ReadonlyMap<CallerName, number>
  /** Tokens served per priority, divided by its weight; none when omitted. */
  readonly servedByPriority?: ReadonlyMap<number, number>
  readonly asOfMs: number
}

/** Picks the next request to serve from those whose model is ready; undefined when there is none. */
export type PickNext = <Id extends string>(waiting: readonly WaitingRequest<Id>[], fairness: FairnessState, nowMs: number) => WaitingRequest<Id> | undefined

/** Adds served tokens to the fairness state. */
export type AccountServed = (fairness: FairnessState, request: WaitingRequest, tokenCount: number, nowMs: number) => FairnessState

/** Expected tokens that are served before `request`, which is not part of `waiting`. */
export type EstimateAhead = (waiting: readonly WaitingRequest[], request: WaitingRequest, fairness: FairnessState, nowMs: number) => number

/** The requests that an agent runs, as needed by the limit on long requests. */
export interface RunningView {
  /** Requests that the engine runs at the same time. */
  readonly batchSlots: number
  readonly running: readonly WaitingRequest[]
  /** Mean expected tokens of recently served requests. */
  readonly meanTokens: number
}

/** Selects the waiting requests that may start now. */
export type LimitLong = <Id extends string>(waiting: readonly WaitingRequest<Id>[], view: RunningView) => readonly WaitingRequest<Id>[]

/** Selects waiting requests that should be refused now as "not run". */
export type ShedWaiting = <Id extends string>(waiting: readonly WaitingRequest<Id>[], tokenIntervalMs: number, nowMs: number) => readonly WaitingRequest<Id>[]
