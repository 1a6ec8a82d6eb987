import type { PlannedRequest } from '../arrivals/types.js'

/** Result of one request over all its resends. */
export interface CallOutcome {
  readonly kind: 'answered' | 'refused' | 'unserved' | 'broken'
  /** From the first send to the first token; undefined without one. */
  readonly firstTokenMs: number | undefined
  /** From the first send to the end. */
  readonly totalMs: number
  readonly tokenCount: number
  /** Longest time between two frames with tokens. */
  readonly longestGapMs: number
  readonly resendCount: number
  /** Reasons of all refusals of the request, by name. */
  readonly refusals: readonly string[]
  readonly detail: string
}

/** Sends one request and resends it until it ends; never throws. */
export type SendRequest = (request: PlannedRequest) => Promise<CallOutcome>

/** A planned request with its outcome. */
export interface RequestResult {
  readonly request: PlannedRequest
  readonly outcome: CallOutcome
  /** How much later than planned the request was sent. The delay is the tool's own and is included in every latency. */
  readonly lateMs: number
}

/** Progress of a run, printed while it runs. */
export interface RunProgress {
  readonly elapsedMs: number
  readonly sentCount: number
  readonly endedCount: number
  readonly plannedCount: number
}
