import type { TimerService } from '../timers/types.js'

/** Waits until a process has read what has arrived at its connections. */
export interface ReadBarrier {
  /** Resolves once everything that had arrived before the call has been read, the ends of connections too, or the signal has aborted. */
  readonly pass: (signal?: AbortSignal) => Promise<void>
}

/** Age of the last read up to which what it showed holds. */
const MAX_READ_AGE_MS = 50

/**
 * Creates the read barrier of one process.
 *
 * Guards against work for a caller that has left: the end of its connection may lie unread behind its request, and is read one turn of the
 * event loop later. Timers that are due also run before connections are read.
 */
export const createReadBarrier = ({ nowMs }: Pick<TimerService, 'nowMs'>): ReadBarrier => {
  let isMarked = false
  let readMs = -Infinity

  const markRead = (): void => {
    isMarked = false
    readMs = nowMs()
  }

  /** Resolves in order, right after the event loop has polled all connections. */
  const nextPoll = async (): Promise<void> => await new Promise(resolve => {
    if (!isMarked) setImmediate(markRead)
    isMarked = true
    setImmediate(resolve)
  })

  return {
    pass: async signal => {
      // The poll of this turn may have shown the request without what lies behind it.
      await nextPoll()
      do {
        await nextPoll()
        // Those that passed before may have taken long.
      } while (signal?.aborted !== true && nowMs() - readMs > MAX_READ_AGE_MS)
    }
  }
}
