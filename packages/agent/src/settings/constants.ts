/** Defaults of the agent's limits; each can be set in the settings file. */
export const Limit = {
  /** Enough to fill a batch of 64 some fifteen times; requests further back in a longer queue only miss their deadlines. */
  queuedCount: 1_000,
  kvCacheMb: 0,
  plainConcurrency: 64,
  /** Half of the 256 MB that the agent process may use, less its own memory. */
  keptAnswersMb: 64,
  /** At 300 bytes each 30 MB; 160 keys a second over the window of 600 s. */
  keyCount: 100_000,
  drainMs: 120_000,
  /** The list lags by seconds in any case; routers read it too and report leaving instances. */
  listMs: 5_000,
  /** The store serves four loads at once for the whole fleet. */
  storeLoadCount: 1
} as const
