/** Why the store may have been unavailable before a time: own reads say so, or another router does; `none` if nobody does. */
export type StoreBreak = 'none' | 'seen' | 'reported'

/** A stretch of time in which the store is known to have answered reads of the list, those of this router or of others. */
export interface AnsweredSpan {
  readonly sinceMs: number
  /** Start of the newest read that was answered. */
  readonly untilMs: number
  /** What is known of the time just before it. */
  readonly storeBreak: StoreBreak
}

/** The store has answered a read. */
export interface AnsweredRead {
  readonly beganMs: number
  /** Time before it in which the store has answered, too, as its reader knows. */
  readonly answeredForMs: number
  /** Its reader has seen the store fail just before that time. */
  readonly isAfterBreak: boolean
}

/** What a router goes by when it joins two spans. */
export interface SpanLimits {
  /** Longest time between two answered reads in which the store counts as available, unless a read failed. */
  readonly maxGapMs: number
  /** Start of the router's own latest read that failed; -Infinity for none. */
  readonly failedMs: number
}

/** What happened to the store between two spans. */
const breakBetween = (earlier: AnsweredSpan, later: AnsweredSpan, { maxGapMs, failedMs }: SpanLimits): StoreBreak => {
  if (later.sinceMs <= earlier.untilMs) return 'none'
  const hasFailed = failedMs > earlier.untilMs && failedMs <= later.sinceMs
  if (hasFailed || later.sinceMs - earlier.untilMs > maxGapMs) return 'seen'
  return later.storeBreak
}

/** The span that a router knows after a read. An answered read counts whoever made it, also against a break that somebody saw. */
export const addRead = (known: AnsweredSpan | undefined, { beganMs, answeredForMs, isAfterBreak }: AnsweredRead, limits: SpanLimits): AnsweredSpan => {
  const read: AnsweredSpan = { sinceMs: beganMs - answeredForMs, untilMs: beganMs, storeBreak: isAfterBreak ? 'reported' : 'none' }
  if (!known) return { ...read, storeBreak: 'none' }
  const [earlier, later] = known.untilMs <= read.untilMs ? [known, read] : [read, known]
  const storeBreak = breakBetween(earlier, later, limits)
  if (storeBreak !== 'none') return { ...later, storeBreak }
  const first = earlier.sinceMs <= later.sinceMs ? earlier : later
  return { ...first, untilMs: later.untilMs }
}
