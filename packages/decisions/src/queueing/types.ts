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
  readonly expectedTokens: number
  readonly arrivedAtMs: number
  readonly deadlineAtMs: number
}

/** Past service of callers and tenants, for fairness; a value that the queue hands back with each pick. */
export interface FairnessState {
  /** Weighted tokens served, by tenant and by caller, decayed over time. */
  readonly servedByTenant: ReadonlyMap<string, number>
  readonly servedByCaller: ReadonlyMap<CallerName, number>
  readonly asOfMs: number
}

/** Picks who is served next among those whose model is ready; undefined when nobody is. */
export type PickNext = <Id extends string>(waiting: readonly WaitingRequest<Id>[], fairness: FairnessState, nowMs: number) => WaitingRequest<Id> | undefined

/** Accounts tokens that were served. */
export type AccountServed = (fairness: FairnessState, request: WaitingRequest, tokenCount: number, nowMs: number) => FairnessState
