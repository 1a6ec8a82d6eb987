import type { TimerService } from '@figmount/base'

/** Counts the requests that a router serves at a time. */
export interface Gate {
  readonly enter: () => GateVerdict
  readonly leave: () => void
  readonly count: () => number
  /** No request gets in any more. */
  readonly close: () => void
  /** Resolves when the last request has left, or after `waitMs`; false then. */
  readonly whenEmpty: (waitMs: number) => Promise<boolean>
}

export type GateVerdict = 'admitted' | 'full' | 'closed'

/**
 * Bounds the requests in a router. Without it callers that never give up fill the router's
 * memory while the backend servers are full; with it a refusal costs no more than its frame.
 */
export const createGate = (timers: TimerService, maxCount: number): Gate => {
  let count = 0
  let isClosed = false
  const listeners = new Set<() => void>()

  return {
    enter: () => {
      if (isClosed) return 'closed'
      if (count >= maxCount) return 'full'
      count += 1
      return 'admitted'
    },
    leave: () => {
      count -= 1
      if (count > 0) return
      for (const listen of [...listeners]) listen()
    },
    count: () => count,
    close: () => { isClosed = true },
    whenEmpty: async waitMs => await new Promise(resolve => {
      if (count === 0) return resolve(true)
      const settle = (isEmpty: boolean): void => {
        cancel()
        listeners.delete(finish)
        resolve(isEmpty)
      }
      const finish = (): void => settle(true)
      const cancel = timers.after(waitMs, () => settle(false))
      listeners.add(finish)
    })
  }
}
