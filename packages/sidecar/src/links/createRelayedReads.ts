import type { TimerService } from '@figmount/base'
import type { ListRead } from '@figmount/fleet'

/** A read without new records is relayed if it began at least this much later than the last one. */
const MIN_FRESHNESS_GAIN_MS = 100

/** Reads of the server list that an agent has relayed to routers. */
export interface RelayedReads {
  /** True when the read has newer records or is fresher than those relayed before; it counts as relayed from then on. */
  readonly isNew: (read: ListRead) => boolean
}

/** Remembers the newest relayed read, so that only one of several concurrent reads by routers is relayed. */
export const createRelayedReads = (timers: TimerService): RelayedReads => {
  let toOffset = -1
  let asOfMs = -Infinity
  return {
    isNew: read => {
      const readAsOfMs = timers.nowMs() - read.ageMs
      if (read.toOffset <= toOffset && readAsOfMs < asOfMs + MIN_FRESHNESS_GAIN_MS) return false
      toOffset = Math.max(toOffset, read.toOffset)
      asOfMs = Math.max(asOfMs, readAsOfMs)
      return true
    }
  }
}
