import type { TimerService } from '@figmount/base'
import type { Want, WantSettled } from '@figmount/fleet'

/** How a want ended. */
export type WantOutcome = Pick<WantSettled, 'isReady' | 'isLost' | 'reason'>

/** Reports the outcome of a want to its router. */
export type Settle = (wantId: number, outcome: WantOutcome) => void

interface Waiter {
  readonly router: string
  readonly wantId: number
  readonly waitingCount: number
  readonly lateCount: number
  readonly untilMs: number
  readonly settle: Settle
}

/** The merged wants of several routers for the same model or adapter. */
export interface OpenWant {
  readonly modelName: string
  readonly adapterName: string
  /** Time since which it has been wanted without becoming available. */
  readonly sinceMs: number
  readonly waitingCount: number
  readonly lateCount: number
}

/** Open wants: models and adapters that routers want on one engine and that are not available yet. */
export interface WantRegistry {
  readonly add: (router: string, want: Want, settle: Settle) => void
  /** Removes a want without settling it. */
  readonly drop: (router: string, wantId: number) => void
  /** Removes all wants of a disconnected router: its callers have lost their connections. */
  readonly dropRouter: (router: string) => void
  readonly open: () => readonly OpenWant[]
  /** Settles the wants for which `isHeld` returns true as met, and those that have expired as not met. */
  readonly review: (isHeld: (modelName: string, adapterName: string) => boolean) => void
  /** Settles all wants as lost, for instance because the engine is draining. */
  readonly failAll: (reason: string) => void
}

interface Entry {
  readonly modelName: string
  readonly adapterName: string
  readonly sinceMs: number
  readonly waiters: readonly Waiter[]
}

/** Creates the want registry of one agent. */
export const createWantRegistry = (timers: TimerService): WantRegistry => {
  const entries = new Map<string, Entry>()

  const settleAll = (key: string, entry: Entry, outcome: WantOutcome): void => {
    entries.delete(key)
    for (const waiter of entry.waiters) waiter.settle(waiter.wantId, outcome)
  }

  const removeExpired = (key: string, entry: Entry): void => {
    const nowMs = timers.nowMs()
    const waiters: Waiter[] = []
    for (const waiter of entry.waiters) {
      if (waiter.untilMs > nowMs) waiters.push(waiter)
      else waiter.settle(waiter.wantId, { isReady: false, isLost: false, reason: 'not in time' })
    }
    if (waiters.length === 0) entries.delete(key)
    else entries.set(key, { ...entry, waiters })
  }

  const filterWaiters = (predicate: (waiter: Waiter) => boolean): void => {
    for (const [key, entry] of [...entries]) {
      const waiters = entry.waiters.filter(predicate)
      if (waiters.length === 0) entries.delete(key)
      else if (waiters.length < entry.waiters.length) entries.set(key, { ...entry, waiters })
    }
  }

  return {
    add: (router, want, settle) => {
      const adapterName = want.adapterName ?? ''
      const key = `${want.modelName}/${adapterName}`
      const sinceMs = timers.nowMs() - (want.unmetForMs ?? 0)
      const entry = entries.get(key) ?? { modelName: want.modelName, adapterName, sinceMs, waiters: [] }
      const { wantId, waitingCount, lateCount } = want
      const waiter = { router, wantId, waitingCount, lateCount, untilMs: timers.nowMs() + want.timeLeftMs, settle }
      entries.set(key, { ...entry, sinceMs: Math.min(entry.sinceMs, sinceMs), waiters: [...entry.waiters, waiter] })
    },
    // Guards against a load that no request waits for, because its caller has left or another engine has served it. The load
    // would take the engine's time, and memory that a wanted model needs.
    drop: (router, wantId) => { filterWaiters(waiter => waiter.router !== router || waiter.wantId !== wantId) },
    dropRouter: router => { filterWaiters(waiter => waiter.router !== router) },
    open: () => [...entries.values()].map(entry => {
      let waitingCount = 0
      let lateCount = 0
      for (const waiter of entry.waiters) {
        waitingCount += waiter.waitingCount
        lateCount = Math.max(lateCount, waiter.lateCount)
      }
      return { modelName: entry.modelName, adapterName: entry.adapterName, sinceMs: entry.sinceMs, waitingCount, lateCount }
    }),
    review: isHeld => {
      for (const [key, entry] of [...entries]) {
        if (isHeld(entry.modelName, entry.adapterName)) settleAll(key, entry, { isReady: true, isLost: false, reason: 'in place' })
        else removeExpired(key, entry)
      }
    },
    failAll: reason => {
      for (const [key, entry] of [...entries]) settleAll(key, entry, { isReady: false, isLost: true, reason })
    }
  }
}
