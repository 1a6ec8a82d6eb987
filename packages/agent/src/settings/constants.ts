/** Defaults of the agent's limits; each can be set in the settings file. */
export const Limit = {
  /** A batch of 64 served some fifteen times over; a longer queue only misses deadlines. */
  queuedCount: 1_000,
  kvCacheMb: 0,
  plainConcurrency: 64,
  /** Half of what a daemon may use, 256 MB, less the process itself. */
  keptAnswersMb: 64,
  /** At 300 bytes each 30 MB; 160 keys a second over the window of 600 s. */
  keyCount: 100_000,
  drainMs: 120_000,
  /** The list lags by seconds anyway; routers read it too and say who is leaving. */
  listMs: 5_000,
  /** The store takes four loads at once for the whole fleet. */
  storeLoadCount: 1
} as const
