/** How long the most recent answers of one kind took from their sends to their ends, in ms, the newest last. A plain value. */
export type AnswerTimes = readonly number[]

/** Number of recent answers that count. */
const RECENT_COUNT = 32

/** Share of the answers that end within the expected time: a cut answer is lost to its caller, or costs another run. */
const IN_TIME_SHARE = 0.95

/** The few answers that count show less than the longest one to come. */
const SPREAD_FACTOR = 1.1

/** Adds an answer that took `tookMs`. */
export const noteAnswerTime = (times: AnswerTimes, tookMs: number): AnswerTimes => [...times.slice(1 - RECENT_COUNT), tookMs]

/** Time within which the next answer of the kind is expected to end, in ms; 0 without any measurement. */
export const expectAnswerMs = (times: AnswerTimes): number => {
  const sorted = [...times].sort((first, second) => first - second)
  const index = Math.ceil(sorted.length * IN_TIME_SHARE) - 1
  return (sorted[index] ?? 0) * SPREAD_FACTOR
}
