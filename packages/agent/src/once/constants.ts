/** Retry-after of a refusal whose cause passes without action by the caller; the log is normally read at least once a second. */
export const PERMIT_RETRY_MS = 1_000

/** Period at which expired keys are removed. */
export const KEY_SWEEP_MS = 10_000
