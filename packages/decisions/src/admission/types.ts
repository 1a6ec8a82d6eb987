/** What an agent knows when a request asks to be queued. */
export interface AdmissionView {
  readonly remainingMs: number
  readonly expectedTokens: number
  readonly priority: number
  /** Expected time until the model (and adapter) is ready. */
  readonly readyInMs: number
  /** Work ahead of this request at its priority, in seconds at the present speed. */
  readonly secondsAhead: number
  /** Tokens that most requests of this kind stay under; `expectedTokens` when left out. */
  readonly boundTokens?: number
  readonly tokenIntervalMs: number
  readonly queuedCount: number
  readonly maxQueuedCount: number
  /** Observed over predicted wait of late, for figures; weighing it in brought nothing (`docs/design/admission.md`). */
  readonly waitRatio?: number
  /** Mean deviation of that ratio; weighing it in refused callers who would have been served in time. */
  readonly waitRatioDeviation?: number
  /** Requests that were refused here lately and will come back. */
  readonly recentRefusals?: number
  /** Requests that can be served here a second, 0 when unknown. */
  readonly servedPerSecond?: number
  readonly resendCount?: number
}

export type AdmissionVerdict =
  | { readonly kind: 'admit', readonly estimatedWaitMs: number }
  | { readonly kind: 'refuse', readonly retryAfterMs: number, readonly detail: string }

/** Says now whether a request can be served before its deadline. `random` yields numbers in [0, 1). */
export type Admit = (view: AdmissionView, random: () => number) => AdmissionVerdict
