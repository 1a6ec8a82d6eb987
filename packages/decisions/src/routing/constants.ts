/** Parameters of the choice of a backend server. */
export const RoutingTuning = {
  /**
   * Warm candidates that are compared for one request. Two random choices spread the requests of routers that have the same
   * stale report; choosing the best of all would send every router to the same server until the next report.
   */
  sampleCount: 2,
  /**
   * Candidates that are scanned for the median and for a cold start when a model has very many. This keeps the cost of a
   * decision independent of the fleet size; a median of 16 samples is accurate enough to detect a server that is
   * several times slower.
   */
  scanCount: 16,
  /** A server with a token interval above this multiple of the group's median is slow. Batching alone varies it by a factor of two. */
  slowFactor: 2.5,
  /**
   * Time constant with which an old token interval loses weight, so that a server that got no work, and therefore reports no new
   * interval, is tried again. A server that was ten times slower falls below `slowFactor` after ln(9 / 1.5) time constants, about
   * 20 s; one probe per router in that time costs little compared with the work that a recovered server can do.
   */
  slownessDecayMs: 10_000,
  /** Time constant with which an ageing queue report is replaced by the group's mean: a few report intervals. */
  reportDecayMs: 2_000,
  /** Round trips of one attempt between data centres: open, permit and first frame. */
  otherDataCentreMs: 5,
  /** Prefill time that a cached prefix or adapter saves, when the request does not specify it. */
  defaultSavingMs: 200,
  /**
   * Factor by which the queue must cost more than a cold start, because a cold start also uses the weight store and memory, and
   * the queue may drain faster than estimated.
   */
  coldStartMargin: 1.5
} as const

export const MS_PER_SECOND = 1000
