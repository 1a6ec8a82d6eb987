/** State of a load that an agent is about to fetch from the weight store. */
export interface LoadPaceView {
  /** The agent's callers that wait for the load. */
  readonly waitingCount: number
  readonly highestPriority: number
  /** Number of times that the store has refused this load. */
  readonly refusedCount: number
  /** Time for which the load has waited. */
  readonly waitedMs: number
  /** Duration of the load at full speed. */
  readonly loadMs: number
}

/** Wait before an agent requests a load from the weight store, at first or again. `random` yields numbers in [0, 1). */
export type ChooseLoadBackoff = (view: LoadPaceView, random: () => number) => number

const FIRST_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 8_000
/** At most ten attempts per second from one agent, because the store has to refuse hundreds of agents. */
const MIN_NEED_BACKOFF_MS = 100
/** Upper limit of the backoff, however few callers wait. */
const MAX_NEED_BACKOFF_MS = 60_000
/**
 * Mean backoff of a load that one caller of middle priority waits for, as a multiple of the load's duration. With two, a burst of
 * loads comes close to the order of arrival at a central queue. Four comes closer to the order by need, but a burst of loads
 * for single callers takes twice as long (`docs/design/loads.md`).
 */
const BACKOFF_LOADS = 2
const PRIORITY_STEP = 1.5
const MIDDLE_PRIORITY = 5

/** Baseline: exponential backoff with full jitter, equal for all loads. */
export const backOffEqually: ChooseLoadBackoff = (view, random) =>
  random() * Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** view.refusedCount)

/**
 * Backs off after a refusal in proportion to the load's duration and in inverse proportion to its waiting callers.
 *
 * Load pattern: all agents use the weight store at once, and there is no central queue. The store refuses loads above its rate
 * limit and divides its bandwidth among those that it admitted. If agents retried within seconds, all loads would be admitted one
 * after the other and end together, so fifty callers of one model would wait as long as a single caller of another. A refusal
 * indicates such a burst: an agent with few waiting callers leaves the store to others for about the duration of its load.
 * A single agent is not refused and loses nothing.
 */
export const backOffByNeed: ChooseLoadBackoff = (view, random) => {
  const need = Math.max(1, view.waitingCount) * PRIORITY_STEP ** (view.highestPriority - MIDDLE_PRIORITY)
  const meanMs = view.loadMs * BACKOFF_LOADS / need
  return Math.min(MAX_NEED_BACKOFF_MS, Math.max(MIN_NEED_BACKOFF_MS, meanMs * (0.5 + random())))
}
