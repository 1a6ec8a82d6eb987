import type { EventLog, TimerService } from '@figmount/base'
import type { AnswerFrame, Final, InferRequest, Refusal } from '@figmount/schema'

/** What a caller asks for; key, issue time and resends are the library's work. */
export interface CallRequest {
  readonly service: string
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  /** Time within which each send is to be answered. */
  readonly deadlineMs: number
  /** False for a request that may run at most once. */
  readonly repeatable: boolean
  readonly adapter?: string
  readonly version?: string
  readonly prefixHint?: string
  /** Chosen by the library if left out. Must be unique for the caller. */
  readonly requestKey?: string
}

/** How a call ended. */
export type CallOutcome =
  | {
    readonly kind: 'answered'
    readonly tokens: readonly string[]
    readonly final: Final
    readonly sendCount: number
    readonly firstTokenMs: number
    /** Longest time between two frames with tokens. */
    readonly longestGapMs: number
    readonly totalMs: number
  }
  /** Coming back is of no use: the refusal says what is known of the run. */
  | { readonly kind: 'refused', readonly refusal: Refusal, readonly sendCount: number, readonly totalMs: number }
  /** The caller's own patience or signal ended first. */
  | { readonly kind: 'givenUp', readonly sendCount: number, readonly totalMs: number, readonly lastMistake: string }

/** Opens one answer stream at an address. */
export type OpenAnswer = (address: string, request: InferRequest, signal: AbortSignal) => AsyncIterable<AnswerFrame>

export interface CallerOptions {
  /** Routers or balancers, as host:port; tried in turn. */
  readonly addresses: readonly string[]
  /** The caller's key. */
  readonly key: string
  readonly timers: TimerService
  readonly events?: EventLog
  /** Yields numbers in [0, 1), to spread resends after a loss. */
  readonly random?: () => number
  /** Ends every call after this long in all; unbounded if left out. */
  readonly patienceMs?: number
  readonly openAnswer?: OpenAnswer
}

/** A caller of figmount that never loses an answer on its own account. */
export interface Caller {
  readonly call: (request: CallRequest, signal?: AbortSignal) => Promise<CallOutcome>
}
