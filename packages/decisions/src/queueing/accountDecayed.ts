import { QueueTuning, weightOfNow, weightOfPriority } from './constants.js'

import type { AccountServed, FairnessState } from './types.js'

const MIN_TOKENS = 1e-3

const scaleTokens = <Key>(served: ReadonlyMap<Key, number>, factor: number): ReadonlyMap<Key, number> => {
  const kept = new Map<Key, number>()
  for (const [key, tokens] of served) {
    const scaledTokens = tokens * factor
    if (scaledTokens >= MIN_TOKENS) kept.set(key, scaledTokens)
  }
  return kept
}

const addTokens = <Key>(served: ReadonlyMap<Key, number>, key: Key, tokens: number): ReadonlyMap<Key, number> =>
  new Map(served).set(key, Math.max(0, (served.get(key) ?? 0) + tokens))

const rescale = (fairness: FairnessState, nowMs: number): FairnessState => {
  const factor = 0.5 ** ((nowMs - fairness.asOfMs) / QueueTuning.halfLifeMs)
  return {
    servedByTenant: scaleTokens(fairness.servedByTenant, factor),
    servedByCaller: scaleTokens(fairness.servedByCaller, factor),
    servedByPriority: scaleTokens(fairness.servedByPriority ?? new Map(), factor),
    asOfMs: nowMs
  }
}

/**
 * Accounts served tokens with forward decay: instead of shrinking every sum at each call, new tokens weigh more the
 * later they are served after `asOfMs`, which yields the same order of the sums. A caller's tokens are divided by its
 * share. Account the expected tokens when a request starts, and the difference (it may be negative) when it ends:
 * if they were only accounted at the end, a caller could start many long requests while its sum is still low.
 */
export const accountDecayed: AccountServed = (fairness, request, tokenCount, nowMs) => {
  const halfLives = (nowMs - fairness.asOfMs) / QueueTuning.halfLifeMs
  if (halfLives > QueueTuning.rescaleHalfLives) return accountDecayed(rescale(fairness, nowMs), request, tokenCount, nowMs)
  const weighted = tokenCount * weightOfNow(fairness.asOfMs, nowMs)
  return {
    servedByTenant: addTokens(fairness.servedByTenant, request.tenant, weighted),
    servedByCaller: addTokens(fairness.servedByCaller, request.caller, weighted / request.share),
    servedByPriority: addTokens(fairness.servedByPriority ?? new Map(), request.priority, weighted / weightOfPriority(request.priority)),
    asOfMs: fairness.asOfMs
  }
}
