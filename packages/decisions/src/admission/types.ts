/** State of an agent when it decides whether to queue a request. */
export interface AdmissionView {
  readonly remainingMs: number
  readonly expectedTokens: number
  readonly priority: number
  /** Expected time until the model (and adapter) is ready. */
  readonly readyInMs: number
  /** Work ahead of this request at its priority, in seconds at the current speed. */
  readonly secondsAhead: number
  /** Upper bound on the tokens, which most requests of this kind stay below; `expectedTokens` when omitted. */
  readonly boundTokens?: number
  readonly tokenIntervalMs: number
  readonly queuedCount: number
  readonly maxQueuedCount: number
  /** Recent ratio of observed to predicted wait, for metrics. Using it for admission brought no gain (`docs/design/admission.md`). */
  readonly waitRatio?: number
  /** Mean deviation of that ratio. Using it for admission refused callers that would have been served in time. */
  readonly waitRatioDeviation?: number
  /** Requests that were refused here recently and are expected to be retried. */
  readonly recentRefusals?: number
  /** Requests per second that can be served here; 0 when unknown. */
  readonly servedPerSecond?: number
  readonly resendCount?: number
}

export type AdmissionVerdict =
  | { readonly kind: 'admit', readonly estimatedWaitMs: number }
  | { readonly kind: 'refuse', readonly retryAfterMs: number, readonly detail: string }

/** Decides at once whether a request can be served before its deadline. `random` yields numbers in [0, 1). */
export type Admit = (view: AdmissionView, random: () => number) => AdmissionVerdict
