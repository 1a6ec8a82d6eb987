/**
 * Prompt tokens that an engine computes in a ms. The deployments' engines do 38 to 44; only ratios of costs depend on it.
 */
export const PROMPT_TOKENS_PER_MS = 40

/** Delay that one running request adds to a new one: a batch step of 4 to 6 ms is shared, so each adds little. */
export const RUNNING_COST_MS = 2

/** Delay that one request without a first event adds: a prompt of some thousand tokens is computed before. */
export const STARTING_COST_MS = 80

/** A failed request costs its caller a retry, about a second; weighed by the share that fails. */
export const FAILURE_COST_MS = 1_000

/** A server in the router's own data centre saves one to three ms and bytes between data centres. */
export const OTHER_DATA_CENTRE_COST_MS = 4

/**
 * Part of an engine's prompt rate that one model's replicas may use before another is loaded. Waiting grows with
 * 1 / (1 - use): at a third it is half a prompt's own time, at two thirds twice that.
 */
export const REPLICA_USE_LIMIT = 0.3

/**
 * A model that has just been loaded stays this long, so that those who waited for it reach it and a second caller of the
 * same model finds it. With 0.3 s the heaviest day of the tyre deployment came to a worth of 0.31, with 1.5 s to 0.44 (one
 * run each).
 */
export const LEAST_HELD_MS = 1_500

/** A model that was used this lately may have requests on their way and counts as running. */
export const LEAST_IDLE_MS = 150

/** Time over which late requests are counted against each other: demand moves to other models within ten seconds. */
export const LATE_HORIZON_S = 5

/** A request that waits this much longer is late: callers are content with a first event in 0.4 to 2.5 s. */
export const LATE_WAIT_S = 0.5

/** Requests that a waiting request's model may make late at once: it is late itself, and a second one soon follows it. */
export const WAITING_LOSS = 2

/**
 * A wait of this length lets one more request be late. Callers of rare models wait up to some seconds, and one of them must
 * not take a model from several a second: with 200 ms single callers emptied engines of busy models on a calm day, and its
 * worth fell from 0.85 to 0.73 (one play each).
 */
export const WAIT_STEP_MS = 1_000
