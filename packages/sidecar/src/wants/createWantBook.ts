import type { TimerService } from '@figmount/base'
import type { Want, WantSettled } from '@figmount/fleet'

/** How a want ended. */
export type WantEnd = Pick<WantSettled, 'isReady' | 'isLost' | 'reason'>

/** Tells a router what became of its want. */
export type Settle = (wantId: number, outcome: WantEnd) => void

interface Waiter {
  readonly wantId: number
  readonly waitingCount: number
  readonly gainPerS: number
  readonly untilMs: number
  readonly settle: Settle
}

/** Wants of several routers for the same thing. */
export interface OpenWant {
  readonly modelName: string
  readonly adapterName: string
  readonly sinceMs: number
  readonly waitingCount: number
  readonly gainPerS: number
}

/** What routers want of one engine and has not come. */
export interface WantBook {
  readonly add: (want: Want, settle: Settle) => void
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

  return {
    add: (want, settle) => {
      const adapterName = want.adapterName ?? ''
      const key = `${want.modelName}/${adapterName}`
      const entry = entries.get(key) ?? { modelName: want.modelName, adapterName, sinceMs: timers.nowMs(), waiters: [] }
      const waiter = { wantId: want.wantId, waitingCount: want.waitingCount, gainPerS: want.gainPerS, untilMs: timers.nowMs() + want.timeLeftMs, settle }
      entries.set(key, { ...entry, waiters: [...entry.waiters, waiter] })
    },
    open: () => [...entries.values()].map(entry => {
      let waitingCount = 0
      let gainPerS = 0
      for (const waiter of entry.waiters) {
        waitingCount += waiter.waitingCount
        gainPerS = Math.max(gainPerS, waiter.gainPerS)
      }
      return { modelName: entry.modelName, adapterName: entry.adapterName, sinceMs: entry.sinceMs, waitingCount, gainPerS }
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
