import { spendBoth } from './budget.js'

import type { RetryBudget } from './budget.js'

/** What is known when a request has had no first token for a while. */
export interface HedgeView {
  readonly isRepeatable: boolean
  readonly waitedMs: number
  /** Time to first token that all but one in a hundred of the model's requests stay under. */
  readonly p99FirstTokenMs: number
  /** True when another backend server is ready and was not tried. */
  readonly hasOtherReady: boolean
  readonly caller: RetryBudget
  readonly service: RetryBudget
}

/** Says whether to start a second attempt now, and returns the budgets that are left when so. */
export type ChooseHedge = (view: HedgeView, nowMs: number) => { readonly caller: RetryBudget, readonly service: RetryBudget } | undefined

/** Baseline: never a second attempt. */
export const neverHedge: ChooseHedge = () => undefined

/**
 * Starts a second attempt of a repeatable request that waits longer than 99 in 100 do, within the retry budgets.
 *
 * Load pattern: one server of several stalls while the others are idle. Without it the callers there wait for the
 * whole stall. The 99th percentile bounds the extra load to one in a hundred on a good day, and the budget to one in
 * ten on a bad one, when all servers are slow and hedging would only double the load.
 */
export const hedgeWithinBudget: ChooseHedge = (view, nowMs) => {
  if (!view.isRepeatable || !view.hasOtherReady) return undefined
  if (view.waitedMs <= view.p99FirstTokenMs) return undefined
  return spendBoth(view.caller, view.service, nowMs)
}
