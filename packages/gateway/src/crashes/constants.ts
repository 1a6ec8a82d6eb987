/** Reason with which a request is refused under which servers have died. */
export const DEADLY_REASON = 'backend servers died while they ran it'

/** Reason with which a request is refused for a part of its prompt. */
export const DEADLY_PART_REASON = 'backend servers died of a part of its prompt'

/** Retry-after of a request under which servers have died. */
export const DEADLY_RETRY_MS = 10_000

/** How often a router looks for evidence of the death of a server that broke off a run. */
export const DEATH_CHECK_PERIOD_MS = 100

/** Time limit of one health check after a broken run. */
export const PROBE_TIMEOUT_MS = 500

/** Pause before the next health check of a server that gave no clear answer. */
export const PROBE_PAUSE_MS = 500

/** Time for which a retry waits until it is known whether the server has died: a health check takes one round trip. */
export const VERDICT_WAIT_MS = 100

/** A server that has written on a prompt for this long does not die of it: one that does dies as it begins. */
export const PROOF_MS = 500

/** Time for which a dead server is remembered; it leaves the list within seconds, unless the store is away. */
export const DEAD_RETENTION_MS = 60_000

/** A server that has been silent for this long, or for its route's objective, may have died before a request was sent to it. */
export const MIN_SILENCE_MS = 500
