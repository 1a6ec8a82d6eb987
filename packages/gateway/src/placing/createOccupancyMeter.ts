import { initialEstimate, observe } from '@figmount/decisions'

/** How long requests occupy their slots on engines, as one router measures it. */
export interface OccupancyMeter {
  /** Adds a request that ended this long after its first event. */
  readonly note: (occupiedMs: number) => void
  /** Mean over the most recent requests; 0 until the first one has ended. */
  readonly meanMs: () => number
}

/** Creates the meter of one router. */
export const createOccupancyMeter = (): OccupancyMeter => {
  let occupied = initialEstimate(0)
  return {
    note: occupiedMs => { occupied = observe(occupied, occupiedMs) },
    meanMs: () => occupied.mean
  }
}
