/** When to come back after a refusal that time alone cures. Grounds: the log is read again every second or so. */
export const PERMIT_RETRY_MS = 1_000

/** Period at which expired keys are forgotten. */
export const KEY_SWEEP_MS = 10_000
