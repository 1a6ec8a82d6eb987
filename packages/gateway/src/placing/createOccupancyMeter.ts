import { guess, observe } from '@figmount/decisions'

/** For how long requests keep their places at engines, as one router sees it. */
export interface OccupancyMeter {
  /** A request has ended this long after its first event. */
  readonly note: (occupiedMs: number) => void
  /** Mean over the newest requests; 0 before the first one has ended. */
  readonly meanMs: () => number
}

/** Makes the meter of one router. */
export const createOccupancyMeter = (): OccupancyMeter => {
  let occupied = guess(0)
  return {
    note: occupiedMs => { occupied = observe(occupied, occupiedMs) },
    meanMs: () => occupied.mean
  }
}
