/** Tuning of the choice of a backend server. */
export const RoutingTuning = {
  /**
   * Warm candidates that are compared for one request. Two random choices spread routers that hold the same stale
   * report; the least of all sends every router to the same server until the next report.
   */
  sampleCount: 2,
  /**
   * Candidates that are looked at for the median and for a cold start when a model has very many. Keeps the cost of a
   * decision independent of the size of the fleet; a median of 16 samples is good enough to tell a server that is
   * several times slower.
   */
  scanCount: 16,
  /** A token interval above this multiple of the group's median is a slow server. Batching alone varies it by about two. */
  slowFactor: 2.5,
  /**
   * Time constant with which an old token interval loses its weight, so that a server that got no work, and therefore
   * reports no new interval, is tried again. Ten times slower takes ln(9 / 1.5) of it, some 20 s, to fall under
   * `slowFactor`; one probe a router in that time costs little beside the work that the server does once it recovered.
   */
  slowMemoryMs: 10_000,
  /** Time constant with which a queue report turns into the group's mean: a few report intervals. */
  reportMemoryMs: 2_000,
  /** Round trips of one attempt between data centres: open, permit, first frame. */
  otherDataCentreMs: 5,
  /** Prefill that a cached prefix or adapter saves when the request does not say. */
  defaultSavingMs: 200,
  /**
   * A cold start must beat the queue by this factor, since it also takes a weight-store turn and memory, and since the
   * queue may drain faster than estimated.
   */
  coldStartMargin: 1.5
} as const

export const MS_PER_SECOND = 1000
