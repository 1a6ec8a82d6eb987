/** Tuning of the order of service. */
export const QueueTuning = {
  /**
   * Waiting this long lifts a request by one priority. Priorities run from 0 to 9, so that the lowest one overtakes a
   * steady stream of the highest after at most 90 s, a little under the patience of a caller with a two-minute deadline.
   */
  agingMs: 10_000,
  /** Half-life of what counts as served: long enough to see a hot caller, short enough to forget yesterday's batch. */
  halfLifeMs: 30_000,
  /**
   * A token of expected length weighs as much as this much earlier arrival, so that short requests go before long ones
   * and a long one goes first once it has waited for as long as its length weighs. About one token interval.
   */
  lengthWeightMs: 30,
  /** Served tokens are rescaled when the growing weight of new ones has reached two to this power. */
  rescaleHalfLives: 20
} as const
