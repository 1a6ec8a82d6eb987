import type { EventLog, TimerService } from '@figmount/base'
import type { AnswerFrame, Final, InferRequest, Refusal } from '@figmount/schema'

/** A request of a caller; the library adds the key, issue time and resend count. */
export interface CallRequest {
  readonly service: string
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  /** Time limit for the answer to each send. */
  readonly deadlineMs: number
  /** False for a request that may run at most once. */
  readonly repeatable: boolean
  readonly adapter?: string
  readonly version?: string
  readonly prefixHint?: string
  /** Random if left out. Must be unique for the caller. */
  readonly requestKey?: string
}

/** Result of a call. */
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
  /** Refused without a retry time; the refusal says whether the request may have run. */
  | { readonly kind: 'refused', readonly refusal: Refusal, readonly sendCount: number, readonly totalMs: number }
  /** The caller's time limit or signal ended the call. */
  | { readonly kind: 'givenUp', readonly sendCount: number, readonly totalMs: number, readonly lastMistake: string }

/** Opens one answer stream at an address. */
export type OpenAnswer = (address: string, request: InferRequest, signal: AbortSignal) => AsyncIterable<AnswerFrame>

export interface CallerOptions {
  /** The host:port of routers or load balancers; tried in turn. */
  readonly addresses: readonly string[]
  /** The caller's API key. */
  readonly key: string
  readonly timers: TimerService
  readonly events?: EventLog
  /** Returns numbers in [0, 1), for backoff jitter and the first address. */
  readonly random?: () => number
  /** Time limit of each call over all its resends; unlimited if left out. */
  readonly patienceMs?: number
  readonly openAnswer?: OpenAnswer
}

/** Sends requests to figmount and resends them until they end. */
export interface Caller {
  readonly call: (request: CallRequest, signal?: AbortSignal) => Promise<CallOutcome>
}
