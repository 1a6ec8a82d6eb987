/** Time for which the router tries to reach the holder of a keys right before it refuses the request. */
export const HOLDER_TIMEOUT_MS = 5_000

/** Delay before a permit is requested again from a holder that did not answer. */
export const PERMIT_RETRY_MS = 250

/** Number of resends after which no further retry is suggested for an unknown attempt; about five seconds. */
export const MAX_UNKNOWN_RESENDS = 5
