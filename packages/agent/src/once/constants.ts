/** Retry-after of a refusal that only time resolves; the log is read about once a second. */
export const PERMIT_RETRY_MS = 1_000

/** Period at which expired keys are removed. */
export const KEY_SWEEP_MS = 10_000
