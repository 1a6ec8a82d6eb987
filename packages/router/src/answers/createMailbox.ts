import type { TimerService } from '@figmount/base'

/** A bounded queue between a link's task, which pushes, and one request's task, which takes. */
export interface Mailbox<T> {
  /** False when the mailbox is full; the message is then lost and `hasOverflowed` says so. */
  readonly push: (message: T) => boolean
  /** The next message; undefined after `waitMs` or when `signal` aborts. */
  readonly take: (waitMs: number, signal?: AbortSignal) => Promise<T | undefined>
  /** True once when the mailbox is empty again after messages were lost. */
  readonly hasOverflowed: () => boolean
}

/** Makes a mailbox for one reader. */
export const createMailbox = <T>(timers: TimerService, capacity: number): Mailbox<T> => {
  const waiting: T[] = []
  let overflowed = false
  let wake: (() => void) | undefined

  const waitForMessage = async (waitMs: number, signal?: AbortSignal): Promise<void> =>
    await new Promise(resolve => {
      const finish = (): void => {
        wake = undefined
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = timers.after(waitMs, finish)
      signal?.addEventListener('abort', finish, { once: true })
      wake = finish
    })

  return {
    push: message => {
      // Guards the router's memory against a caller that reads slowly: its frames stay at
      // the agent, which keeps them until acknowledged, and are asked for again later.
      if (waiting.length >= capacity) {
        overflowed = true
        return false
      }
      waiting.push(message)
      wake?.()
      return true
    },
    take: async (waitMs, signal) => {
      if (waiting.length === 0 && waitMs > 0 && !signal?.aborted) await waitForMessage(waitMs, signal)
      return waiting.shift()
    },
    hasOverflowed: () => {
      if (!overflowed || waiting.length > 0) return false
      overflowed = false
      return true
    }
  }
}
