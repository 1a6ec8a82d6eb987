/** An engine as one more request finds it. */
export interface EnginePlaces {
  /** Requests that it runs at once. */
  readonly placeCount: number
  readonly runningCount: number
  /** Requests without a first event, those that wait for a place among them. */
  readonly startingCount: number
  /** Time for which a request keeps its place; 0 while that is not known. */
  readonly occupancyMs: number
}

/** Part of a request's objective that it may wait for a place: more urgent requests pass it, and its prompt takes the rest. */
const WAIT_SHARE = 0.5

/** Expected time until an engine has a place for one more request, behind all that wait. */
export const estimatePlaceWaitMs = ({ placeCount, runningCount, startingCount, occupancyMs }: EnginePlaces): number => {
  if (runningCount < placeCount) return 0
  return (startingCount + 1) * occupancyMs / placeCount
}

/**
 * Whether a request comes too late for its caller at the engine that would serve it first.
 *
 * Load pattern: a model that more callers ask for than its engines have places. Without it the queue grows until callers leave:
 * each of them is late, though the engines could serve nine in ten at once. Kept short, it makes those late that are refused.
 */
export const isCrowded = (placeWaitMs: number, objectiveMs: number): boolean => placeWaitMs > objectiveMs * WAIT_SHARE
