import type { TimerService } from '@figmount/base'
import type { ListRead } from '@figmount/fleet'

/** A read that began this much later is worth passing on though it brings nothing else. */
const FRESHER_MS = 100

/** Reads of the list that an agent has passed on to routers. */
export interface PassedReads {
  /** The read tells routers more than those before; it counts as passed on from then. */
  readonly isNew: (read: ListRead) => boolean
}

/** Remembers the newest read, so that those of routers that read at the same time are passed on once. */
export const createPassedReads = (timers: TimerService): PassedReads => {
  let toOffset = -1
  let asOfMs = -Infinity
  return {
    isNew: read => {
      const readAsOfMs = timers.nowMs() - read.ageMs
      if (read.toOffset <= toOffset && readAsOfMs < asOfMs + FRESHER_MS) return false
      toOffset = Math.max(toOffset, read.toOffset)
      asOfMs = Math.max(asOfMs, readAsOfMs)
      return true
    }
  }
}
