import type { TimerService } from '../timers/types.js'

/** Waits until a process has read what has arrived at its connections. */
export interface ReadBarrier {
  /** Resolves once everything that had arrived before the call has been read, the ends of connections too, or the signal has aborted. */
  readonly pass: (signal?: AbortSignal) => Promise<void>
  /** The connections have not been read for so long that what they have shown may not hold any more. */
  readonly isLate: () => boolean
}

/** Age up to which a read holds: half of the time within which the platform's servers must hear of callers that leave. */
const MAX_READ_AGE_MS = 250

/** Long turns in a row after which what they have shown counts: a process that is always late must go on. */
const MAX_LONG_TURNS = 3

/**
 * Creates the read barrier of one process.
 *
 * Guards against work for a caller that has left: the end of its connection may lie unread behind its request, and is read one turn of the
 * event loop later. Timers that are due also run before connections are read.
 */
export const createReadBarrier = ({ nowMs }: Pick<TimerService, 'nowMs'>): ReadBarrier => {
  let turnedMs = nowMs()
  /** What had arrived up to then has been read. */
  let readMs = turnedMs
  let longTurnCount = 0

  const notePoll = (): void => {
    const beforeMs = turnedMs
    turnedMs = nowMs()
    // The process may have stood still in the middle of that turn, after it had asked what there was to read.
    longTurnCount = turnedMs - beforeMs > MAX_READ_AGE_MS ? longTurnCount + 1 : 0
    if (longTurnCount % MAX_LONG_TURNS === 0) readMs = turnedMs
    // Runs right after each poll, before all others that wait for it. Without a reference it lets the loop idle.
    setImmediate(notePoll).unref()
  }
  setImmediate(notePoll).unref()

  const isLate = (): boolean => nowMs() - readMs > MAX_READ_AGE_MS

  /** Resolves in order, right after the event loop has polled all connections. */
  const nextPoll = async (): Promise<void> => await new Promise(resolve => { setImmediate(resolve) })

  return {
    pass: async signal => {
      // The poll of this turn may have shown the request without what lies behind it.
      await nextPoll()
      await nextPoll()
      // That turn may have been long, or those that have passed before may have worked for long.
      while (signal?.aborted !== true && isLate()) await nextPoll()
    },
    isLate
  }
}
