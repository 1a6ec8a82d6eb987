/** Parameters of the queue order. */
export const QueueTuning = {
  /**
   * A priority gets this many times the guaranteed share of the next lower one. With a factor of two, the lowest of ten priorities
   * still gets a thousandth of a full server, which is one request of 100 tokens about every 30 s. Three priorities
   * apart the ratio is eight to one, close to strict priority unless one priority alone demands most of the server.
   */
  priorityWeight: 2,
  /** Half-life of served tokens: long enough to detect a caller that sends too much, short enough to disregard yesterday's batch. */
  halfLifeMs: 30_000,
  /**
   * Delay of the virtual arrival per expected token, so that short requests precede long ones. A long one precedes them once it
   * has waited as long as its own length delays it. About one token interval.
   */
  lengthWeightMs: 30,
  /**
   * Delay of the virtual arrival per token that the caller, or its tenant, was served recently; equal to `lengthWeightMs`.
   * Much less, and a caller that sends too much slows down the others; twice as much, and the age of a request no longer outweighs a
   * small difference in served tokens.
   */
  servedWeightMs: 30,
  /** Served tokens are rescaled when the growing weight of new ones reaches two to this power. */
  rescaleHalfLives: 20
} as const

/** Guaranteed share of a priority, relative to priority 0. */
export const weightOfPriority = (priority: number): number => QueueTuning.priorityWeight ** priority

/** Weight of a token that is served now, relative to one that was served at `asOfMs` (forward decay). */
export const weightOfNow = (asOfMs: number, nowMs: number): number => 2 ** ((nowMs - asOfMs) / QueueTuning.halfLifeMs)
