/** A condition that is not met within this time fails its test; generous, since the machine is shared. */
export const WAIT_TIMEOUT_MS = 30_000

/** Polling period for conditions that no event reports. */
export const POLL_MS = 50

/** At the end of a test, a process that is still running this long after SIGTERM is killed. */
export const STOP_TIMEOUT_MS = 5_000

/** Time within which a new process must report that it listens. */
export const START_TIMEOUT_MS = 20_000

/** A restarted process rarely finds its old port taken; the start is then tried up to this often, with this wait in between. */
export const RESTART_TRIES = 10
export const RESTART_WAIT_MS = 300
