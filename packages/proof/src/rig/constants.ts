/** A condition that does not come true within this time fails its test; generous, since the machine is shared. */
export const WAIT_MS = 30_000

/** Period at which a condition that no event tells of is looked at again. */
export const POLL_MS = 50

/** A process that has not ended this long after SIGTERM at the end of a test is killed. */
export const END_MS = 5_000

/** Time within which a started process must say that it listens. */
export const START_MS = 20_000

/** A restarted process finds its old port taken in rare cases; it is tried this often, so long apart. */
export const RESTART_TRIES = 10
export const RESTART_WAIT_MS = 300
