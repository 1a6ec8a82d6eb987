/** Parameters of the simulated fleet, equal for all policies. */
export const SimulationConstants = {
  /** One-way latency between a router and an agent within a data centre. */
  hopMs: 1,
  reportPeriodMs: 1_000,
  /** Time until a report reaches a router. */
  reportLagMs: 200,
  tokenIntervalMs: 30,
  prefillMs: 300,
  /** Prefill time with a cached prefix. */
  cachedPrefillMs: 60,
  prefixesPerServer: 20,
  /** Maximum number of requests that wait at one agent. */
  maxQueuedCount: 200,
  /** Maximum number of servers that a router tries for one attempt, regardless of the budgets. */
  routerTries: 3,
  /** Tries after which a retry is charged to the budgets: a refusal costs a server next to nothing. */
  freeTries: 1,
  /** Period at which a router checks each of its streams. */
  watchPeriodMs: 2_000,
  /** Time after which a caller sends again when its attempt failed or missed its deadline. */
  resendMs: 1_000,
  /** One in this many refusals is checked with a shadow. */
  checkEveryRefusal: 8,
  storeConcurrency: 4,
  storeLoadsPerSecond: 2,
  /** Window over which the service rate is measured. */
  rateWindowMs: 10_000
} as const
