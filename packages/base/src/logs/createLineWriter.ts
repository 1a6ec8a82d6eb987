import type { TimerService } from '../timers/types.js'

/** A quiet time saves up lines for a burst of this length. */
const SAVED_S = 5

/** Bytes that may wait for a reader of standard output; a reader that has stopped must not fill the memory. */
const MAX_BUFFERED_BYTES = 512 * 1024

const MS_PER_S = 1_000

/** The part of a writable stream that the writer uses. */
export interface LineSink {
  readonly write: (text: string) => unknown
  readonly writableLength: number
}

/** Writes lines within a bound and counts what it leaves out. */
export interface LineWriter {
  readonly write: (line: string) => void
  readonly leftOutCount: () => number
}

/**
 * Writes log lines without ever waiting for their reader. Under a burst, or when nobody reads, lines are left out and
 * counted, so that logging takes neither the processor time nor the memory that requests need.
 */
export const createLineWriter = (sink: LineSink, timers: TimerService, linesPerS: number): LineWriter => {
  const maxSaved = linesPerS * SAVED_S
  let saved = maxSaved
  let asOfMs = timers.nowMs()
  let leftOut = 0

  const refill = (): void => {
    const nowMs = timers.nowMs()
    saved = Math.min(maxSaved, saved + (nowMs - asOfMs) * linesPerS / MS_PER_S)
    asOfMs = nowMs
  }

  return {
    write: line => {
      refill()
      if (saved < 1 || sink.writableLength > MAX_BUFFERED_BYTES) {
        leftOut += 1
        return
      }
      saved -= 1
      sink.write(`${line}\n`)
    },
    leftOutCount: () => leftOut
  }
}
