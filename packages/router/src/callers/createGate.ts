import type { TimerService } from '@figmount/base'

/** Counts and limits the concurrent requests of a router. */
export interface Gate {
  readonly enter: () => GateVerdict
  readonly leave: () => void
  readonly count: () => number
  /** Refuses all further requests. */
  readonly close: () => void
  /** Resolves to true when the last request has left, or to false after `waitMs`. */
  readonly whenEmpty: (waitMs: number) => Promise<boolean>
}

export type GateVerdict = 'admitted' | 'full' | 'closed'

/**
 * Limits the number of concurrent requests. Otherwise callers that retry without end would fill the
 * router's memory while the backend servers are overloaded; a refusal costs no more than its frame.
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
