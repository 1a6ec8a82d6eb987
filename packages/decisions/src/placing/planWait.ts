/** Share of a request's time that a load may take; the rest is for queueing and computing. */
const LOAD_SHARE = 0.85

/**
 * Share of a caller's patience after which it is refused when a load takes longer than was expected: it can come back,
 * where one that is kept until it leaves hears nothing.
 */
const WAIT_SHARE = 0.8

/** What one request would wait for. */
export interface WaitView {
  /** Expected time until it is there. */
  readonly readyInMs: number
  /** Time that the caller still waits. */
  readonly leftMs: number
}

/** Whether a request waits, and for how long. */
export interface WaitPlan {
  /** It comes too late for this request; its caller hears at once when to come back. */
  readonly isHopeless: boolean
  /** Time after which the one who brings it may forget it: a refused caller returns for it. */
  readonly keptMs: number
}

/**
 * Whether a request waits for a model or an adapter.
 *
 * Load pattern: callers of an engine that takes no order for seconds, as it loads another model. Kept for a fixed time they
 * are refused late and come back no later for it. Told the time at once they return when it is there.
 */
export const planWait = ({ readyInMs, leftMs }: WaitView): WaitPlan => {
  const isHopeless = readyInMs > leftMs * LOAD_SHARE
  return { isHopeless, keptMs: isHopeless ? readyInMs * 2 : leftMs * WAIT_SHARE }
}
