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

/**
 * Expected time until an engine has a place for one more request, behind all that wait.
 *
 * Load pattern: a model that more callers ask for than its engines have places. The queue grows until callers leave a silent stream;
 * those that would leave are told at once (`planWait`), and those before them wait no longer for it.
 */
export const estimatePlaceWaitMs = ({ placeCount, runningCount, startingCount, occupancyMs }: EnginePlaces): number => {
  if (runningCount < placeCount) return 0
  return (startingCount + 1) * occupancyMs / placeCount
}
