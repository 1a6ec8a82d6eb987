import type { PlannedRequest } from '../arrivals/types.js'

/** What became of one request over all its resends. */
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
  /** Reasons of all refusals on the way, by name. */
  readonly refusals: readonly string[]
  readonly detail: string
}

/** Sends one request and resends it as told until it ends; never throws. */
export type SendRequest = (request: PlannedRequest) => Promise<CallOutcome>

/** An outcome with the time that the plan asked for. */
export interface RequestResult {
  readonly request: PlannedRequest
  readonly outcome: CallOutcome
  /** How much later than planned the request was sent: the tool's own delay, which counts into every latency. */
  readonly lateMs: number
}

/** Progress of a run, for a person who waits. */
export interface RunProgress {
  readonly elapsedMs: number
  readonly sentCount: number
  readonly endedCount: number
  readonly plannedCount: number
}
