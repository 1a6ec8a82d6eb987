/**
 * Retry delay of a refusal by a stopping router. The load balancer sends the resend to another
 * router, so a longer delay would only cost the caller time.
 */
export const STOPPING_RETRY_MS = 100

/**
 * Retry delay of a refusal for an unknown name: a configuration change that was accepted by another
 * router takes effect here within 3 s.
 */
export const UNKNOWN_RETRY_MS = 3_000
