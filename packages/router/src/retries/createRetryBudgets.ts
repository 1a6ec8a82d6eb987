import { creditSend, fullBudget, spendBoth } from '@figmount/decisions'

import type { CallerName, ServiceName } from '@figmount/base'
import type { RetryBudget } from '@figmount/decisions'

/** Attempts beyond the first that callers and services may still cause. */
export interface RetryBudgets {
  readonly credit: (caller: CallerName, service: ServiceName, nowMs: number) => void
  /** False when either budget is empty: the caller is then told to come back. */
  readonly spend: (caller: CallerName, service: ServiceName, nowMs: number) => boolean
}

/** Budgets kept of each kind; one that is forgotten is full again. */
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
 * Keeps a budget for each caller and each service. Without it every request that a full agent
 * refuses is tried at the next ones too, and an overload multiplies itself.
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
