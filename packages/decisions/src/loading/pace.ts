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

/** Time until an agent asks the weight store again after it was turned away. `random` yields numbers in [0, 1). */
export type ChooseLoadBackoff = (view: LoadPaceView, random: () => number) => number

/** Baseline: exponential back-off with full jitter, the same for all. */
export const backOffEqually: ChooseLoadBackoff = (view, random) =>
  random() * Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** view.refusedCount)

const FIRST_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 8_000
/** Half a second: two loads a second, so that a place falls free about as often. */
const SLOT_MS = 500
const PRIORITY_STEP = 1.5
const AGING_MS = 10_000

/**
 * Backs off for a time inversely proportional to who waits: the agent with most callers asks soonest and most often.
 *
 * Load pattern: all agents want the weight store at once, and no process may order them. Without it each agent's
 * chance at a free place is the same, and fifty callers wait while single ones are served. With exponential random
 * times the chance to ask first is proportional to the need, which gives the fleet the order that a central queue by
 * need would give it, without one. Age raises the need, so that no load starves.
 */
export const backOffByNeed: ChooseLoadBackoff = (view, random) => {
  const need = Math.max(1, view.waitingCount) * PRIORITY_STEP ** view.highestPriority * (1 + view.waitedMs / AGING_MS)
  const meanMs = SLOT_MS * 8 / need
  const drawnMs = -Math.log(1 - random()) * meanMs
  return Math.min(MAX_BACKOFF_MS, Math.max(LEAST_BACKOFF_MS, drawnMs))
}

/** Ten asks a second from one agent at most; the store has hundreds of agents to turn away. */
const LEAST_BACKOFF_MS = 100
