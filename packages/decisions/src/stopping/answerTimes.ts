/** How long the most recent answers of one kind took from their sends to their ends, in ms, the newest last. A plain value. */
export type AnswerTimes = readonly number[]

/** Number of recent answers that count. */
const RECENT_COUNT = 32

/** Share of answers that end in time if the request may not be run again: its caller loses a cut answer. */
const ONCE_SHARE = 0.95

/** The same if it may be: a router that takes it up again helps the caller as well as one that runs it. */
const AGAIN_SHARE = 0.5

/** The few answers that count show less than the longest one to come. */
const SPREAD_FACTOR = 1.1

/** Adds an answer that took `tookMs`. */
export const noteAnswerTime = (times: AnswerTimes, tookMs: number): AnswerTimes => [...times.slice(1 - RECENT_COUNT), tookMs]

/** Time within which the next answer of the kind is expected to end, in ms; 0 without any measurement. */
export const expectAnswerMs = (times: AnswerTimes, mayRunAgain: boolean): number => {
  const sorted = [...times].sort((first, second) => first - second)
  const index = Math.ceil(sorted.length * (mayRunAgain ? AGAIN_SHARE : ONCE_SHARE)) - 1
  return (sorted[index] ?? 0) * SPREAD_FACTOR
}
