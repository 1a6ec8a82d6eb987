/** State of a running stream when a router decides whether to resume it elsewhere. */
export interface StreamView {
  readonly isRepeatable: boolean
  readonly doneTokens: number
  readonly expectedTokens: number
  /** Token interval of this stream. */
  readonly tokenIntervalMs: number
  /** Median token interval of the other backend servers that are ready for the model; 0 when there is none. */
  readonly otherIntervalMs: number
  /** Shortest expected wait at one of those, including the prefill of the prompt and of the tokens generated so far. */
  readonly otherWaitMs: number
  readonly remainingMs: number
}

/** Decides whether a running stream should be cancelled and resumed at its next token on another backend server. */
export type ChooseMove = (view: StreamView) => boolean

/** Baseline: a stream stays where it started. */
export const neverMove: ChooseMove = () => false

/** Minimum speedup of the remaining tokens. Batching alone varies the speed by about two and must not move a stream. */
const MIN_SPEEDUP = 2.5

/**
 * Moves a stream that has become several times slower than it would be elsewhere.
 *
 * Load pattern: a backend server becomes ten times slower while it runs a full batch. Routers send it nothing new, but its
 * running requests end at their deadline, and their callers lose all progress. Elsewhere the rest takes a tenth of the
 * time. Moves must be charged to the retry budgets, so that a uniformly slow fleet does not move streams in circles.
 */
export const moveSlowStream: ChooseMove = view => {
  if (!view.isRepeatable || view.otherIntervalMs <= 0) return false
  const leftTokens = Math.max(1, view.expectedTokens - view.doneTokens)
  const hereMs = leftTokens * view.tokenIntervalMs
  const thereMs = view.otherWaitMs + leftTokens * view.otherIntervalMs
  return hereMs > thereMs * MIN_SPEEDUP && thereMs <= view.remainingMs
}
