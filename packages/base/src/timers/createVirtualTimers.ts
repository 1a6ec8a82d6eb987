import type { TimerService } from './types.js'

interface Pending {
  readonly id: number
  readonly atMs: number
  readonly fire: () => void
}

/** Virtual time for tests and simulations of decisions. */
export interface VirtualTimers extends TimerService {
  /** Runs everything that is due within the next `durationMs`, in order of time. */
  readonly advance: (durationMs: number) => void
}

/** Makes virtual time that starts at `startUnixMs`. */
export const createVirtualTimers = (startUnixMs = 0): VirtualTimers => {
  let currentMs = 0
  let nextId = 0
  const pending = new Map<number, Pending>()

  const schedule = (delayMs: number, fire: () => void): number => {
    const id = nextId++
    pending.set(id, { id, atMs: currentMs + Math.max(0, delayMs), fire })
    return id
  }

  const earliest = (untilMs: number): Pending | undefined => {
    let best: Pending | undefined
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
      const arm = (): void => {
        id = schedule(periodMs, () => { arm(); fire() })
      }
      arm()
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
