/** Share of a request's remaining time that a load may take; the rest is reserved for queueing and computing. */
const LOAD_SHARE = 0.85

/**
 * Share of a caller's remaining time after which it is refused if a load takes longer than expected. A refused caller can
 * retry, whereas one that waits until it leaves gets no answer.
 */
const WAIT_SHARE = 0.8

/** The expected wait of a request and the time that its caller has left. */
export interface WaitView {
  /** Expected time until the model or adapter is ready. */
  readonly readyInMs: number
  /** Time until the caller leaves. */
  readonly leftMs: number
}

/** Whether a request waits, and how long the load that it requested stays wanted. */
export interface WaitPlan {
  /** The load ends too late for this request, whose caller is refused at once with the time after which to retry. */
  readonly isHopeless: boolean
  /** Time after which the agent may drop the requested load. It outlasts a refusal, because the refused caller retries. */
  readonly wantLifetimeMs: number
}

/**
 * Decides whether a request waits for a model or an adapter.
 *
 * Load pattern: callers of an engine that accepts no order for seconds because it is loading another model. With a fixed maximum
 * wait they are refused late and do not return when the model is ready. Callers that get the expected time at once do.
 */
export const planWait = ({ readyInMs, leftMs }: WaitView): WaitPlan => {
  const isHopeless = readyInMs > leftMs * LOAD_SHARE
  return { isHopeless, wantLifetimeMs: isHopeless ? readyInMs * 2 : leftMs * WAIT_SHARE }
}
