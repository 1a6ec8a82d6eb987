/** What a router knows of a running stream when it looks whether to go on elsewhere. */
export interface StreamView {
  readonly isRepeatable: boolean
  readonly doneTokens: number
  readonly expectedTokens: number
  /** Of this stream. */
  readonly tokenIntervalMs: number
  /** Median of the other backend servers that are ready for the model; 0 when there is none. */
  readonly otherIntervalMs: number
  /** Least expected wait at one of those, with the prefill of prompt and tokens that are done. */
  readonly otherWaitMs: number
  readonly remainingMs: number
}

/** Says whether a running stream should be cancelled and resumed at its next token on another backend server. */
export type ChooseMove = (view: StreamView) => boolean

/** Baseline: a stream stays where it started. */
export const neverMove: ChooseMove = () => false

/** The rest must take this many times longer here, so that batching alone (a factor of about two) moves nothing. */
const WORTH_FACTOR = 2.5

/**
 * Moves a stream that has become several times slower than it would be elsewhere.
 *
 * Load pattern: a backend server turns ten times slower while it runs a full batch. Routers send it nothing new, but
 * what runs there ends at its deadline, and its callers lose all of it. The rest is done elsewhere in a tenth of the
 * time. To be charged to the retry budgets, so that a fleet that is slow as a whole does not move in circles.
 */
export const moveSlowStream: ChooseMove = view => {
  if (!view.isRepeatable || view.otherIntervalMs <= 0) return false
  const leftTokens = Math.max(1, view.expectedTokens - view.doneTokens)
  const hereMs = leftTokens * view.tokenIntervalMs
  const thereMs = view.otherWaitMs + leftTokens * view.otherIntervalMs
  return hereMs > thereMs * WORTH_FACTOR && thereMs <= view.remainingMs
}
