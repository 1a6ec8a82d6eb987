import type { TimerService } from '../timers/types.js'

/** Largest burst, in seconds of the permitted rate. */
const MAX_BURST_S = 5

/** Limit for output that the reader of standard output has not consumed yet, so that a stalled reader cannot exhaust memory. */
const MAX_BUFFERED_BYTES = 512 * 1024

const MS_PER_S = 1_000

/** The subset of a writable stream that the writer uses. */
export interface LineSink {
  readonly write: (text: string) => unknown
  readonly writableLength: number
}

/** Writes lines at a limited rate and counts the lines it drops. */
export interface LineWriter {
  readonly write: (line: string) => void
  readonly droppedCount: () => number
}

/**
 * Creates a writer that limits log lines with a token bucket and never waits for the reader. During a burst or with a
 * stalled reader it drops and counts lines, so that logging does not take CPU time and memory from requests.
 */
export const createLineWriter = (sink: LineSink, timers: TimerService, linesPerS: number): LineWriter => {
  const maxTokens = linesPerS * MAX_BURST_S
  let tokens = maxTokens
  let refilledAtMs = timers.nowMs()
  let dropped = 0

  const refill = (): void => {
    const nowMs = timers.nowMs()
    tokens = Math.min(maxTokens, tokens + (nowMs - refilledAtMs) * linesPerS / MS_PER_S)
    refilledAtMs = nowMs
  }

  return {
    write: line => {
      refill()
      if (tokens < 1 || sink.writableLength > MAX_BUFFERED_BYTES) {
        dropped += 1
        return
      }
      tokens -= 1
      sink.write(`${line}\n`)
    },
    droppedCount: () => dropped
  }
}
