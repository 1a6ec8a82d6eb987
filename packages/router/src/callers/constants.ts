/**
 * When to come back to a stopping router. Grounds: a resend reaches another router through
 * the balancer, so waiting longer would only cost the caller time.
 */
export const STOPPING_RETRY_MS = 100

/**
 * An unknown name is worth another try this much later: a configuration that was accepted
 * at another router is in force here within 3 s.
 */
export const UNKNOWN_RETRY_MS = 3_000
