/** Fixed facts of the simulated fleet, the same for every policy. */
export const SimulationFacts = {
  /** One way between router and agent, within a data centre. */
  hopMs: 1,
  reportPeriodMs: 1_000,
  /** Reports take this long to reach a router. */
  reportLagMs: 200,
  tokenIntervalMs: 30,
  prefillMs: 300,
  /** Prefill with a cached prefix. */
  cachedPrefillMs: 60,
  prefixesPerServer: 20,
  /** Requests that may wait at one agent. */
  maxQueuedCount: 200,
  /** Tries of a router for one attempt when no budget binds. */
  routerTries: 3,
  /** Tries after which a retry is charged to the budgets: a refusal costs a server next to nothing. */
  freeTries: 1,
  /** A router looks at each of its streams this often. */
  watchPeriodMs: 2_000,
  /** A caller whose attempt failed or ran out sends again after this time. */
  resendMs: 1_000,
  /** Every so many refusals one is checked by a shadow. */
  checkEveryRefusal: 8,
  storeConcurrency: 4,
  storeLoadsPerSecond: 2,
  /** Span over which the rate of service is measured. */
  rateWindowMs: 10_000
} as const
