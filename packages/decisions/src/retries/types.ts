/** What a come-back time is worked out from. */
export interface RetryAfterView {
  /** Expected time until there is room. */
  readonly estimatedWaitMs: number
  /** Requests that were refused lately and will come back too. */
  readonly recentRefusals: number
  /**
   * Requests that can be served a second, 0 when unknown. The capacity, not what was served of late: a come-back time
   * worked out from a low recent rate keeps that rate low.
   */
  readonly servedPerSecond: number
  readonly resendCount: number
}

/** When a refused caller should come back. `random` yields numbers in [0, 1). */
export type ChooseRetryAfter = (view: RetryAfterView, random: () => number) => number
