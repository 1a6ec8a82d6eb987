import { weightOfNow, weightOfPriority } from './constants.js'

import type { EstimateAhead } from './types.js'

/** Baseline: all that waits is ahead, as in a queue served in order of arrival. */
export const allAhead: EstimateAhead = waiting => waiting.reduce((sum, one) => sum + one.expectedTokens, 0)

/** Waiting work of one caller, tenant or priority beside the own one. */
interface Sibling {
  readonly waitingTokens: number
  readonly weight: number
  /** Weighted tokens served so far, in tokens of now. */
  readonly served: number
}

/**
 * A sibling goes first for as long as it was served less than the own group will have been when the turn comes, that
 * is after `insideTokens` more.
 */
const withSiblings = (insideTokens: number, ownServed: number, ownWeight: number, siblings: Iterable<Sibling>): number => {
  const servedAtTurn = ownServed + insideTokens / ownWeight
  let ahead = insideTokens
  for (const { waitingTokens, weight, served } of siblings) {
    ahead += Math.min(waitingTokens, Math.max(0, servedAtTurn - served) * weight)
  }
  return ahead
}

const addTo = <Key>(siblings: Map<Key, Sibling>, key: Key, tokens: number, weight: number, served: number): void => {
  siblings.set(key, { waitingTokens: (siblings.get(key)?.waitingTokens ?? 0) + tokens, weight, served })
}

/**
 * Expected tokens that `pickFairShare` serves before a new request: all of its own caller's, and of the other callers,
 * tenants and priorities what they get until it is its turn, given what each was served before.
 *
 * Load pattern: a hot caller or a low priority fills the queue. Counting the whole queue would refuse the quiet
 * callers for work that will be served after theirs. Requests that arrive later are not counted; the error that this
 * brings is measured by `waitRatio` of the estimates.
 */
export const fairAhead: EstimateAhead = (waiting, request, fairness, nowMs) => {
  const scale = weightOfNow(fairness.asOfMs, nowMs)
  const servedBy = <Key>(served: ReadonlyMap<Key, number> | undefined, key: Key): number => (served?.get(key) ?? 0) / scale
  const priorities = new Map<number, Sibling>()
  const tenants = new Map<string, Sibling>()
  const callers = new Map<string, Sibling>()
  let ownCallerTokens = 0
  for (const one of waiting) {
    const { priority, tenant, caller, share, expectedTokens } = one
    if (priority !== request.priority) {
      addTo(priorities, priority, expectedTokens, weightOfPriority(priority), servedBy(fairness.servedByPriority, priority))
    } else if (tenant !== request.tenant) {
      addTo(tenants, tenant, expectedTokens, 1, servedBy(fairness.servedByTenant, tenant))
    } else if (caller !== request.caller) {
      addTo(callers, caller, expectedTokens, share, servedBy(fairness.servedByCaller, caller))
    } else {
      ownCallerTokens += expectedTokens
    }
  }
  const inTenant = withSiblings(ownCallerTokens, servedBy(fairness.servedByCaller, request.caller), request.share, callers.values())
  const inPriority = withSiblings(inTenant, servedBy(fairness.servedByTenant, request.tenant), 1, tenants.values())
  const ownPriorityServed = servedBy(fairness.servedByPriority, request.priority)
  return withSiblings(inPriority, ownPriorityServed, weightOfPriority(request.priority), priorities.values())
}
