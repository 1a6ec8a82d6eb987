/** Retries that a caller or a service may still make: a token bucket filled by its own first sends. A plain value. */
export interface RetryBudget {
  readonly tokens: number
  readonly asOfMs: number
}

/**
 * Retries for each first send. With one in ten a total failure of the backend servers adds a tenth to their load;
 * three tries for each request would treble it and keep an overloaded server down after the cause is gone.
 */
const TOKENS_PER_SEND = 0.1
/** Lets a caller that sends rarely retry now and then: one in ten seconds. */
const TOKENS_PER_MS = 1 / 10_000
/** Retries that a quiet time may save up for a burst of failures, such as one backend server's death. */
const MAX_TOKENS = 10

/** A full budget. */
export const fullBudget = (nowMs: number): RetryBudget => ({ tokens: MAX_TOKENS, asOfMs: nowMs })

const refilled = (budget: RetryBudget, nowMs: number): RetryBudget => ({
  tokens: Math.min(MAX_TOKENS, budget.tokens + Math.max(0, nowMs - budget.asOfMs) * TOKENS_PER_MS),
  asOfMs: nowMs
})

/** Credits a first send. */
export const creditSend = (budget: RetryBudget, nowMs: number): RetryBudget => {
  const { tokens, asOfMs } = refilled(budget, nowMs)
  return { tokens: Math.min(MAX_TOKENS, tokens + TOKENS_PER_SEND), asOfMs }
}

/** Takes one retry out; undefined when none is left and the caller must be told to come back. */
export const spendRetry = (budget: RetryBudget, nowMs: number): RetryBudget | undefined => {
  const { tokens, asOfMs } = refilled(budget, nowMs)
  return tokens < 1 ? undefined : { tokens: tokens - 1, asOfMs }
}

/** Takes one retry out of the caller's and the service's budget, or out of neither. */
export const spendBoth = (caller: RetryBudget, service: RetryBudget, nowMs: number): { readonly caller: RetryBudget, readonly service: RetryBudget } | undefined => {
  const callerLeft = spendRetry(caller, nowMs)
  const serviceLeft = spendRetry(service, nowMs)
  return callerLeft && serviceLeft ? { caller: callerLeft, service: serviceLeft } : undefined
}
