import { spendBoth } from './budget.js'

import type { RetryBudget } from './budget.js'

/** State of a request that has waited for its first token. */
export interface HedgeView {
  readonly isRepeatable: boolean
  readonly waitedMs: number
  /** 99th percentile of the time to first token of the model's requests. */
  readonly p99FirstTokenMs: number
  /** Another backend server is ready and has not been tried. */
  readonly hasOtherReady: boolean
  readonly caller: RetryBudget
  readonly service: RetryBudget
}

/** Decides whether to start a second attempt now. Returns the remaining budgets if so. */
export type ChooseHedge = (view: HedgeView, nowMs: number) => { readonly caller: RetryBudget, readonly service: RetryBudget } | undefined

/** Baseline: never a second attempt. */
export const neverHedge: ChooseHedge = () => undefined

/**
 * Starts a second attempt of a repeatable request that has waited longer than 99 in 100 do, within the retry budgets.
 *
 * Load pattern: one server of several stalls while the others are idle, and its callers would wait for the whole stall. The
 * 99th percentile limits the additional load to one in a hundred in normal operation. The budget limits it to one in ten
 * when all servers are slow and hedging would only double the load.
 */
export const hedgeWithinBudget: ChooseHedge = (view, nowMs) => {
  if (!view.isRepeatable || !view.hasOtherReady) return undefined
  if (view.waitedMs <= view.p99FirstTokenMs) return undefined
  return spendBoth(view.caller, view.service, nowMs)
}
