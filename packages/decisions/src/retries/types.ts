/** Inputs for the retry time of a refused caller. */
export interface RetryAfterView {
  /** Expected time until there is capacity. */
  readonly estimatedWaitMs: number
  /** Requests that were refused recently and are expected to be retried. */
  readonly recentRefusals: number
  /**
   * Requests per second that can be served, 0 when unknown. This is the capacity, not the recent rate: retry times
   * derived from a low recent rate keep that rate low.
   */
  readonly servedPerSecond: number
  readonly resendCount: number
}

/** Computes the time after which a refused caller should retry. `random` yields numbers in [0, 1). */
export type ChooseRetryAfter = (view: RetryAfterView, random: () => number) => number
