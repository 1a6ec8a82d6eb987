/** Time between tokens that is assumed before any was measured; the target for 95 in 100. */
export const ASSUMED_TOKEN_INTERVAL_MS = 66

/** Weight of a new measurement in the smoothed time between tokens. */
export const INTERVAL_SMOOTHING = 0.05

/** Period at which waiting requests are told how long it may take. */
export const PROGRESS_MS = 1_000

/** Period at which deadlines, keep-alive and held back loads are looked at. */
export const PUMP_MS = 100

/**
 * How long a refused request's wish for a load is remembered. Grounds: longer than a load in turn at a
 * crowded weight store takes; callers that come back renew it.
 */
export const WAKE_MS = 60_000

/** Models whose loads refused requests may ask for at once; an agent holds fewer slots than that. */
export const MAX_WAKES = 256
