/** Assumed time between tokens before the first measurement: the target that 95 in 100 intervals have to meet. */
export const ASSUMED_TOKEN_INTERVAL_MS = 66

/** Weight of a new measurement in the smoothed time between tokens. */
export const INTERVAL_SMOOTHING = 0.05

/** Period at which waiting requests receive an estimate of their remaining wait. */
export const PROGRESS_MS = 1_000

/** Period at which deadlines, keep-alive times and delayed loads are checked. */
export const PUMP_MS = 100

/**
 * How long the load request of a refused request is stored: longer than a queued load at a busy weight store takes.
 * Callers that retry renew it.
 */
export const LOAD_REQUEST_KEEP_MS = 60_000

/** Most models that can have a load request at once; an agent holds fewer slots than that. */
export const MAX_LOAD_REQUESTS = 256
