/** What an agent knows when it is about to fetch a checkpoint from the weight store. */
export interface LoadPaceView {
  /** Own callers that wait for the load. */
  readonly waitingCount: number
  readonly highestPriority: number
  /** Times that the store has turned this load away. */
  readonly refusedCount: number
  /** Time that the load has waited. */
  readonly waitedMs: number
  /** Time that the store takes for a load at full speed. */
  readonly loadMs: number
}

/** Time until an agent asks the weight store (again). `random` yields numbers in [0, 1). */
export type ChooseLoadBackoff = (view: LoadPaceView, random: () => number) => number

const FIRST_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 8_000
/** Ten asks a second from one agent at most; the store has hundreds of agents to turn away. */
const LEAST_BACKOFF_MS = 100
/** A load waits no longer than this, however few want it. */
const LONGEST_BACKOFF_MS = 60_000
/**
 * Mean back-off of a load that one caller of middle priority wants, in times of its own length. Two brings a rush close
 * to the order of arrival at a central queue; four brings it closer to the order by need, and lets a rush of single
 * callers take twice as long (`docs/design/loads.md`).
 */
const BACKOFF_LOADS = 2
const PRIORITY_STEP = 1.5
const MIDDLE_PRIORITY = 5

/** Baseline: exponential back-off with full jitter, the same for all. */
export const backOffEqually: ChooseLoadBackoff = (view, random) =>
  random() * Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** view.refusedCount)

/**
 * Backs off after a refusal for a time in proportion to the load's length and inversely to who waits for it.
 *
 * Load pattern: all agents want the weight store at once, and no process may order them. The store turns away what
 * goes over its rate, and shares its speed among all that it let in. Without it agents ask again within seconds, all
 * are let in one after the other, and all finish together at the end of the rush: those fifty callers wait for as
 * long as the single ones. A refusal is the sign of a rush: whoever has few waiting leaves the store to the others for
 * about the length of its load. An agent that is alone is not turned away and pays nothing.
 */
export const backOffByNeed: ChooseLoadBackoff = (view, random) => {
  const need = Math.max(1, view.waitingCount) * PRIORITY_STEP ** (view.highestPriority - MIDDLE_PRIORITY)
  const meanMs = view.loadMs * BACKOFF_LOADS / need
  return Math.min(LONGEST_BACKOFF_MS, Math.max(LEAST_BACKOFF_MS, meanMs * (0.5 + random())))
}
