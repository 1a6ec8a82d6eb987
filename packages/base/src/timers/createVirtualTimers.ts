import type { TimerService } from './types.js'

interface PendingTimer {
  readonly id: number
  readonly atMs: number
  readonly fire: () => void
}

/** A timer service in virtual time, for tests and simulations. */
export interface VirtualTimers extends TimerService {
  /** Advances the clock by `durationMs` and runs all timers due by then, in order of their due time. */
  readonly advance: (durationMs: number) => void
}

/** Creates virtual timers whose wall clock starts at `startUnixMs`. */
export const createVirtualTimers = (startUnixMs = 0): VirtualTimers => {
  let currentMs = 0
  let nextId = 0
  const pending = new Map<number, PendingTimer>()

  const schedule = (delayMs: number, fire: () => void): number => {
    const id = nextId++
    pending.set(id, { id, atMs: currentMs + Math.max(0, delayMs), fire })
    return id
  }

  const earliest = (untilMs: number): PendingTimer | undefined => {
    let best: PendingTimer | undefined
    for (const candidate of pending.values()) {
      if (candidate.atMs > untilMs) continue
      if (best && (best.atMs < candidate.atMs || (best.atMs === candidate.atMs && best.id < candidate.id))) continue
      best = candidate
    }
    return best
  }

  return {
    nowMs: () => currentMs,
    unixMs: () => startUnixMs + currentMs,
    after: (delayMs, fire) => {
      const id = schedule(delayMs, fire)
      return () => { pending.delete(id) }
    },
    every: (periodMs, fire) => {
      let id = -1
      const scheduleNext = (): void => {
        id = schedule(periodMs, () => { scheduleNext(); fire() })
      }
      scheduleNext()
      return () => { pending.delete(id) }
    },
    advance: durationMs => {
      const untilMs = currentMs + durationMs
      for (let due = earliest(untilMs); due; due = earliest(untilMs)) {
        pending.delete(due.id)
        currentMs = due.atMs
        due.fire()
      }
      currentMs = untilMs
    }
  }
}
