import { creditSend, fullBudget, spendBoth } from '@figmount/decisions'

import type { CallerName, ServiceName } from '@figmount/base'
import type { RetryBudget } from '@figmount/decisions'

/** Limits the retries that each caller and each service may cause. */
export interface RetryBudgets {
  readonly credit: (caller: CallerName, service: ServiceName, nowMs: number) => void
  /** False if either budget is exhausted; the caller is then refused with a retry delay. */
  readonly spend: (caller: CallerName, service: ServiceName, nowMs: number) => boolean
}

/** Maximum number of budgets per kind; an evicted budget starts full again. */
const MAX_BUDGETS = 10_000

const createBudgetMap = <Name extends string>() => {
  const budgets = new Map<Name, RetryBudget>()
  return {
    get: (name: Name, nowMs: number): RetryBudget => budgets.get(name) ?? fullBudget(nowMs),
    set: (name: Name, budget: RetryBudget): void => {
      budgets.delete(name)
      budgets.set(name, budget)
      const [oldest] = budgets.keys()
      if (budgets.size > MAX_BUDGETS && oldest !== undefined) budgets.delete(oldest)
    }
  }
}

/**
 * Creates a retry budget per caller and per service. Without budgets, every request refused by an
 * overloaded agent would be retried on the next agents, which amplifies the overload.
 */
export const createRetryBudgets = (): RetryBudgets => {
  const callers = createBudgetMap<CallerName>()
  const services = createBudgetMap<ServiceName>()
  return {
    credit: (caller, service, nowMs) => {
      callers.set(caller, creditSend(callers.get(caller, nowMs), nowMs))
      services.set(service, creditSend(services.get(service, nowMs), nowMs))
    },
    spend: (caller, service, nowMs) => {
      const left = spendBoth(callers.get(caller, nowMs), services.get(service, nowMs), nowMs)
      if (!left) return false
      callers.set(caller, left.caller)
      services.set(service, left.service)
      return true
    }
  }
}
