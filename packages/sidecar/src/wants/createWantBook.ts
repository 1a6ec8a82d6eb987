import type { TimerService } from '@figmount/base'
import type { Want, WantSettled } from '@figmount/fleet'

/** How a want ended. */
export type WantEnd = Pick<WantSettled, 'isReady' | 'isLost' | 'reason'>

/** Tells a router what became of its want. */
export type Settle = (wantId: number, outcome: WantEnd) => void

interface Waiter {
  readonly router: string
  readonly wantId: number
  readonly waitingCount: number
  readonly lateCount: number
  readonly untilMs: number
  readonly settle: Settle
}

/** Wants of several routers for the same thing. */
export interface OpenWant {
  readonly modelName: string
  readonly adapterName: string
  /** Since when it has been asked for in vain. */
  readonly sinceMs: number
  readonly waitingCount: number
  readonly lateCount: number
}

/** What routers want of one engine and has not come. */
export interface WantBook {
  readonly add: (router: string, want: Want, settle: Settle) => void
  /** Takes a want back. */
  readonly drop: (router: string, wantId: number) => void
  /** Takes back all wants of a router that has gone: its callers have lost their connections. */
  readonly dropRouter: (router: string) => void
  readonly open: () => readonly OpenWant[]
  /** Settles what is in place by `isHeld`, and gives up what has run out of time. */
  readonly review: (isHeld: (modelName: string, adapterName: string) => boolean) => void
  /** Gives up everything, for instance because the engine is leaving. */
  readonly giveUpAll: (reason: string) => void
}

interface Entry {
  readonly modelName: string
  readonly adapterName: string
  readonly sinceMs: number
  readonly waiters: readonly Waiter[]
}

/** Makes the want book of one agent. */
export const createWantBook = (timers: TimerService): WantBook => {
  const entries = new Map<string, Entry>()

  const settleAll = (key: string, entry: Entry, end: WantEnd): void => {
    entries.delete(key)
    for (const waiter of entry.waiters) waiter.settle(waiter.wantId, end)
  }

  const expire = (key: string, entry: Entry): void => {
    const nowMs = timers.nowMs()
    const waiters: Waiter[] = []
    for (const waiter of entry.waiters) {
      if (waiter.untilMs > nowMs) waiters.push(waiter)
      else waiter.settle(waiter.wantId, { isReady: false, isLost: false, reason: 'not in time' })
    }
    if (waiters.length === 0) entries.delete(key)
    else entries.set(key, { ...entry, waiters })
  }

  const keep = (isKept: (waiter: Waiter) => boolean): void => {
    for (const [key, entry] of [...entries]) {
      const waiters = entry.waiters.filter(isKept)
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
    // Guards against a model that is loaded for nobody: a caller has left, or was served by another engine. The load would
    // take the engine's time, and the room of a model that is asked for.
    drop: (router, wantId) => { keep(waiter => waiter.router !== router || waiter.wantId !== wantId) },
    dropRouter: router => { keep(waiter => waiter.router !== router) },
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
        else expire(key, entry)
      }
    },
    giveUpAll: reason => {
      for (const [key, entry] of [...entries]) settleAll(key, entry, { isReady: false, isLost: true, reason })
    }
  }
}
