/** Tuning of the order of service. */
export const QueueTuning = {
  /**
   * A priority gets this many times the guaranteed share of the next lower one. With two, the lowest of ten still gets
   * one part in a thousand of a full server, a request of 100 tokens about every half minute, and a gap of three
   * priorities is eight to one, as good as strict for any class that does not itself ask for most of the server.
   */
  priorityWeight: 2,
  /** Half-life of what counts as served: long enough to see a hot caller, short enough to forget yesterday's batch. */
  halfLifeMs: 30_000,
  /**
   * A token of expected length weighs as much as this much earlier arrival, so that short requests go before long ones
   * and a long one goes first once it has waited for as long as its length weighs. About one token interval.
   */
  lengthWeightMs: 30,
  /**
   * A token that a caller, or its tenant, was served of late weighs as much as this much later arrival: the same as a
   * token of length. At 5 a hot caller shows (p99 of the others 5.4 s in place of 2.4 s), at 60 and more an old request
   * no longer counts against a small difference in service, and short requests wait for a third longer.
   */
  servedWeightMs: 30,
  /** Served tokens are rescaled when the growing weight of new ones has reached two to this power. */
  rescaleHalfLives: 20
} as const

/** Guaranteed share of a priority, relative to priority 0. */
export const weightOfPriority = (priority: number): number => QueueTuning.priorityWeight ** priority

/** Weight of a token that is served now, against one that was served at `asOfMs` (forward decay). */
export const weightOfNow = (asOfMs: number, nowMs: number): number => 2 ** ((nowMs - asOfMs) / QueueTuning.halfLifeMs)
