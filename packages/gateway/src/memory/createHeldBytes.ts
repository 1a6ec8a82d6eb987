import { chooseStalled } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'
import { HELD_BYTES, STALL_CHECK_PERIOD_MS } from './constants.js'

import type { EventLog, Metrics, TimerService } from '@figmount/base'

/** Room for bytes, taken or waited for. */
export interface Hold {
  /** Bytes were received or taken: the holder has not stalled. */
  readonly moved: () => void
  /** Sets what to do when the room is given to another one because the holder has stalled. */
  readonly onStalled: (giveUp: () => void) => void
  /** Gives back what is above `bytes`. */
  readonly shrink: (bytes: number) => void
  /** Gives the room back, or waits for it no longer. */
  readonly release: () => void
}

/** The room of the process for bytes that it holds for callers. */
export interface HeldBytes {
  /** Calls `granted` once there is room, in the order of arrival; at once if there is room now. */
  readonly reserve: (bytes: number, granted: () => void) => Hold
}

interface Holder {
  bytes: number
  movedMs: number
  giveUp: () => void
  readonly granted: () => void
}

interface Options {
  readonly timers: TimerService
  readonly events: EventLog
  readonly metrics: Metrics
  /** The most that is held at once. */
  readonly limitBytes?: number
}

/**
 * Creates the room for bytes that a process holds for callers.
 *
 * Guards against many answers that are each within their own bound and together larger than the machine's memory. An answer reserves its whole
 * length before it is read, so that answers that were read in part never wait for each other.
 */
export const createHeldBytes = ({ timers, events, metrics, limitBytes = HELD_BYTES }: Options): HeldBytes => {
  const holders = new Set<Holder>()
  const waiting = new Set<Holder>()
  let heldBytes = 0
  let isChecking = false

  const noteFull = (isFull: boolean): void => {
    events.emit(isFull ? GatewayEvent.heldBytesFull : GatewayEvent.heldBytesFree, { count: holders.size })
  }

  const grant = (): void => {
    for (const holder of waiting) {
      if (heldBytes + holder.bytes > limitBytes) return
      waiting.delete(holder)
      holders.add(holder)
      heldBytes += holder.bytes
      holder.movedMs = timers.nowMs()
      holder.granted()
    }
  }

  const giveBack = (holder: Holder): void => {
    waiting.delete(holder)
    if (holders.delete(holder)) heldBytes -= holder.bytes
    grant()
  }

  const giveUpStalled = (neededBytes: number): void => {
    const nowMs = timers.nowMs()
    const views = [...holders].map(holder => ({ holder, bytes: holder.bytes, stalledMs: nowMs - holder.movedMs }))
    for (const { holder, bytes, stalledMs } of chooseStalled(views, neededBytes)) {
      metrics.count('holders_stalled_total')
      events.emit(GatewayEvent.holderStalled, { count: bytes, waitMs: Math.round(stalledMs) })
      holder.giveUp()
      giveBack(holder)
    }
  }

  const check = (): void => {
    const [first] = waiting
    isChecking = first !== undefined
    if (!first) return noteFull(false)
    giveUpStalled(heldBytes + first.bytes - limitBytes)
    timers.after(STALL_CHECK_PERIOD_MS, check)
  }

  const startChecking = (): void => {
    if (isChecking) return
    isChecking = true
    noteFull(true)
    timers.after(STALL_CHECK_PERIOD_MS, check)
  }

  metrics.gauge('held_bytes', () => heldBytes)
  metrics.gauge('holders_waiting', () => waiting.size)

  return {
    reserve: (bytes, granted) => {
      const holder: Holder = { bytes: Math.min(bytes, limitBytes), movedMs: timers.nowMs(), giveUp: () => {}, granted }
      waiting.add(holder)
      grant()
      if (waiting.has(holder)) startChecking()
      return {
        moved: () => { holder.movedMs = timers.nowMs() },
        onStalled: giveUp => { holder.giveUp = giveUp },
        shrink: neededBytes => {
          if (!holders.has(holder) || neededBytes >= holder.bytes) return
          heldBytes -= holder.bytes - neededBytes
          holder.bytes = neededBytes
          grant()
        },
        release: () => { giveBack(holder) }
      }
    }
  }
}
