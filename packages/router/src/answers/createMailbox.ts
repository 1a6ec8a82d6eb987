import type { TimerService } from '@figmount/base'

/** A bounded queue from the task of a link to the task of one request. */
export interface Mailbox<T> {
  /** Returns false if the mailbox is full; the message is then dropped and `hasOverflowed` reports it. */
  readonly push: (message: T) => boolean
  /** Returns the next message, or undefined after `waitMs` or when `signal` aborts. */
  readonly take: (waitMs: number, signal?: AbortSignal) => Promise<T | undefined>
  /** Returns true once when the mailbox has been emptied after messages were dropped. */
  readonly hasOverflowed: () => boolean
}

/** Creates a mailbox for one reader. */
export const createMailbox = <T>(timers: TimerService, capacity: number): Mailbox<T> => {
  const queue: T[] = []
  let isOverflowed = false
  let notifyReader: (() => void) | undefined

  const waitForMessage = async (waitMs: number, signal?: AbortSignal): Promise<void> =>
    await new Promise(resolve => {
      const finish = (): void => {
        notifyReader = undefined
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = timers.after(waitMs, finish)
      signal?.addEventListener('abort', finish, { once: true })
      notifyReader = finish
    })

  return {
    push: message => {
      // Bounds the memory used for a slow caller: the agent stores frames until they are acknowledged, so dropped
      // ones can be requested again later.
      if (queue.length >= capacity) {
        isOverflowed = true
        return false
      }
      queue.push(message)
      notifyReader?.()
      return true
    },
    take: async (waitMs, signal) => {
      if (queue.length === 0 && waitMs > 0 && !signal?.aborted) await waitForMessage(waitMs, signal)
      return queue.shift()
    },
    hasOverflowed: () => {
      if (!isOverflowed || queue.length > 0) return false
      isOverflowed = false
      return true
    }
  }
}
