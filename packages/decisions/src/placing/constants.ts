/** Prompt tokens that an engine computes in a ms. Only ratios of costs depend on it. */
export const PROMPT_TOKENS_PER_MS = 40

/** Delay that one running request adds to a new one: they share batch steps. */
export const RUNNING_COST_MS = 2

/** Delay that one request without a first event adds: its prompt is computed first. */
export const STARTING_COST_MS = 80

/** Cost of a failed request, its caller's retry; weighed by the share that fails. */
export const FAILURE_COST_MS = 1_000

/** A server in the router's own data centre saves a round trip and bytes between data centres. */
export const OTHER_DATA_CENTRE_COST_MS = 4

/** Part of an engine's prompt rate that one model's replicas may use before another is loaded: waits grow with 1 / (1 - use). */
export const REPLICA_USE_LIMIT = 0.3

/** A model that has just been loaded stays this long, so that those who waited for it reach it. */
export const LEAST_HELD_MS = 1_500

/** A model that was used this lately may have requests on their way and counts as running. */
export const LEAST_IDLE_MS = 150

/** Time over which late requests are counted against each other: later, demand has moved to other models. */
export const LATE_HORIZON_S = 5

/** A request that waits this much longer is late. */
export const LATE_WAIT_S = 0.5

/** Requests that a waiting request's model may make late at once: it is late itself, and a second one soon follows it. */
export const WAITING_LOSS = 2

/** A wait of this length lets one more request be late: a single caller of a rare model must not take a model from several a second. */
export const WAIT_STEP_MS = 1_000
