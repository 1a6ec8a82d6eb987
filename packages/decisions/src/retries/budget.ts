/** Retry budget of a caller or a service: a token bucket that is filled by its first sends. A plain value. */
export interface RetryBudget {
  readonly tokens: number
  readonly asOfMs: number
}

/**
 * Retries per first send. With one in ten, a total failure of the backend servers increases their load by a tenth.
 * Three attempts per request would triple it and keep an overloaded server down after the cause is gone.
 */
const TOKENS_PER_SEND = 0.1
/** Lets a caller that rarely sends retry occasionally: once in ten seconds. */
const TOKENS_PER_MS = 1 / 10_000
/** Retries that can accumulate while there are no failures, for a burst of them such as the crash of one backend server. */
const MAX_TOKENS = 10

/** A full budget. */
export const fullBudget = (nowMs: number): RetryBudget => ({ tokens: MAX_TOKENS, asOfMs: nowMs })

const refill = (budget: RetryBudget, nowMs: number): RetryBudget => ({
  tokens: Math.min(MAX_TOKENS, budget.tokens + Math.max(0, nowMs - budget.asOfMs) * TOKENS_PER_MS),
  asOfMs: nowMs
})

/** Credits one first send. */
export const creditSend = (budget: RetryBudget, nowMs: number): RetryBudget => {
  const { tokens, asOfMs } = refill(budget, nowMs)
  return { tokens: Math.min(MAX_TOKENS, tokens + TOKENS_PER_SEND), asOfMs }
}

/** Spends one retry; undefined when none is left, in which case the caller has to be refused with a retry time. */
export const spendRetry = (budget: RetryBudget, nowMs: number): RetryBudget | undefined => {
  const { tokens, asOfMs } = refill(budget, nowMs)
  return tokens < 1 ? undefined : { tokens: tokens - 1, asOfMs }
}

/** Spends one retry from both the caller's and the service's budget, or from neither. */
export const spendBoth = (caller: RetryBudget, service: RetryBudget, nowMs: number): { readonly caller: RetryBudget, readonly service: RetryBudget } | undefined => {
  const callerLeft = spendRetry(caller, nowMs)
  const serviceLeft = spendRetry(service, nowMs)
  return callerLeft && serviceLeft ? { caller: callerLeft, service: serviceLeft } : undefined
}
