/** Prompt tokens that an engine computes per ms. Only ratios of costs depend on it. */
export const PROMPT_TOKENS_PER_MS = 40

/** Delay that each running request adds to a new one, because they share batch steps. */
export const RUNNING_COST_MS = 2

/** Delay that each request without a first event adds to a new one, because its prompt is computed first. */
export const STARTING_COST_MS = 80

/** Cost of a failed request, which its caller has to retry; multiplied by the server's share of failures. */
export const FAILURE_COST_MS = 1_000

/** Cost of a server in another data centre: a network round trip and traffic between data centres. */
export const OTHER_DATA_CENTRE_COST_MS = 4

/** Utilisation of a model's replicas above which another one is loaded: waits grow with 1 / (1 - utilisation). */
export const REPLICA_USE_LIMIT = 0.3

/** A model that has just been loaded is not evicted for this long, so that the requests that waited for it can run. */
export const MIN_RESIDENCE_MS = 1_500

/** A model that was used within this time counts as running: more requests may already be on their way to it. */
export const IN_USE_WINDOW_MS = 150

/** Horizon over which late requests are counted and compared. Beyond it, demand has moved to other models. */
export const LATE_HORIZON_S = 5

/** A request that waits this much longer than necessary is late. */
export const LATE_WAIT_S = 0.5

/** Requests that a load may make late for each request that waits for it: the latter is late itself, and a second one usually follows. */
export const WAITING_LOSS_LIMIT = 2

/**
 * Additional wait after which a load may make one more request late. A single caller of a rare model must not evict a model
 * that gets several requests per second.
 */
export const WAIT_PER_LOSS_MS = 1_000
