import type { TimerService } from '@figmount/base'

interface Options {
  readonly timers: TimerService
  /** Age up to which a read is recent enough for all routers. */
  readonly periodMs: number
  /** Additional time from which each router draws the delay of its own read. */
  readonly spreadMs: number
  readonly random: () => number
}

/** Decides when one of several routers reads the list that all of them need, so that it can send the result to the others. */
export interface ReadSchedule {
  /** The router has the list as of this time, from its own read or another router's. */
  readonly note: (asOfMs: number) => void
  /** Time until the router's own next read. */
  readonly dueInMs: () => number
}

/**
 * Creates the schedule of one router.
 *
 * Load pattern: many routers share a store that charges for every call. Each router's read postpones those of all others, and each draws
 * its next time at random, so that a different router reads first each time. A router that receives no reads, because the reader has
 * died or its own links are cut, reads at its own time.
 */
export const createReadSchedule = ({ timers, periodMs, spreadMs, random }: Options): ReadSchedule => {
  let newestMs = -Infinity
  let dueMs = -Infinity
  return {
    note: asOfMs => {
      if (asOfMs <= newestMs) return
      newestMs = asOfMs
      dueMs = asOfMs + periodMs + random() * spreadMs
    },
    dueInMs: () => Math.max(0, dueMs - timers.nowMs())
  }
}
