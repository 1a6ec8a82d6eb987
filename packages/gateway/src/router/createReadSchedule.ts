import type { TimerService } from '@figmount/base'

interface Options {
  readonly timers: TimerService
  /** Age up to which what was read is good enough for everybody. */
  readonly periodMs: number
  /** Time beyond it in which each router draws its own turn. */
  readonly spreadMs: number
  readonly random: () => number
}

/** When one of several routers reads a list that all of them need, and tells the others. */
export interface ReadSchedule {
  /** The list is known as it was at this time, by an own read or another router's. */
  readonly note: (asOfMs: number) => void
  /** Time until the router reads it itself. */
  readonly dueInMs: () => number
}

/**
 * Makes the turns of one router.
 *
 * Load pattern: many routers before a store whose every call is paid for. Each read by one of them puts off the reads of all
 * others, and each draws its next turn at random, so that the first one to read is another one each time. A router that hears
 * of no reads, because the reader has died or its own links are cut, reads at its own turn.
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
