import { QueueTuning, weightOfNow, weightOfPriority } from './constants.js'

import type { AccountServed, FairnessState } from './types.js'

const FORGOTTEN_TOKENS = 1e-3

const scaled = <Key>(served: ReadonlyMap<Key, number>, factor: number): ReadonlyMap<Key, number> => {
  const kept = new Map<Key, number>()
  for (const [key, tokens] of served) {
    const scaledTokens = tokens * factor
    if (scaledTokens >= FORGOTTEN_TOKENS) kept.set(key, scaledTokens)
  }
  return kept
}

const added = <Key>(served: ReadonlyMap<Key, number>, key: Key, tokens: number): ReadonlyMap<Key, number> =>
  new Map(served).set(key, Math.max(0, (served.get(key) ?? 0) + tokens))

const rescaled = (fairness: FairnessState, nowMs: number): FairnessState => {
  const factor = 0.5 ** ((nowMs - fairness.asOfMs) / QueueTuning.halfLifeMs)
  return {
    servedByTenant: scaled(fairness.servedByTenant, factor),
    servedByCaller: scaled(fairness.servedByCaller, factor),
    servedByPriority: scaled(fairness.servedByPriority ?? new Map(), factor),
    asOfMs: nowMs
  }
}

/**
 * Accounts served tokens with forward decay: instead of shrinking every sum at each call, new tokens weigh more the
 * later they are served after `asOfMs`, which leaves the order of the sums the same. A caller's tokens count by its
 * share. Account the expected tokens when a request starts and the difference (it may be negative) when it ends:
 * accounting at the end alone lets a caller start many long jobs while its sum is still low.
 */
export const accountDecayed: AccountServed = (fairness, request, tokenCount, nowMs) => {
  const halfLives = (nowMs - fairness.asOfMs) / QueueTuning.halfLifeMs
  if (halfLives > QueueTuning.rescaleHalfLives) return accountDecayed(rescaled(fairness, nowMs), request, tokenCount, nowMs)
  const weighted = tokenCount * weightOfNow(fairness.asOfMs, nowMs)
  return {
    servedByTenant: added(fairness.servedByTenant, request.tenant, weighted),
    servedByCaller: added(fairness.servedByCaller, request.caller, weighted / request.share),
    servedByPriority: added(fairness.servedByPriority ?? new Map(), request.priority, weighted / weightOfPriority(request.priority)),
    asOfMs: fairness.asOfMs
  }
}
