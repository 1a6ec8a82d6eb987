import { evictLeastLoss } from '../../eviction/evictLeastLoss.js'
import { evictLeastRecent } from '../../eviction/evictLeastRecent.js'
import { coldStartCost, keepByHistory, idleCostPerMs } from '../../keepalive/keepByHistory.js'
import { keepFixedTime } from '../../keepalive/keepFixedTime.js'
import { neverPreload, preloadRegular } from '../../keepalive/planPreload.js'

import type { KeepPolicies } from './types.js'

const FOR_EVER_MS = 1e12

/** What figmount does at a weight. */
export const byHistory = (idleCostWeight: number): KeepPolicies =>
  ({ keep: keepByHistory, planPreload: preloadRegular, chooseVictims: evictLeastLoss, idleCostWeight })

/** The same without preloading. */
export const withoutPreload = (idleCostWeight: number): KeepPolicies =>
  ({ ...byHistory(idleCostWeight), planPreload: neverPreload })

/** Baseline: a fixed time-out. */
export const fixedTime = (keepMs: number): KeepPolicies =>
  ({ keep: keepFixedTime(keepMs), planPreload: neverPreload, chooseVictims: evictLeastRecent, idleCostWeight: 0.5 })

/** Baseline: nothing leaves before its memory is wanted, the least recently used first. */
export const leastRecent = (): KeepPolicies =>
  ({ keep: () => FOR_EVER_MS, planPreload: neverPreload, chooseVictims: evictLeastRecent, idleCostWeight: 0.5 })

/** The best decision for each gap by itself, knowing when the next use comes. */
export const withHindsight = (idleCostWeight: number): KeepPolicies => ({
  keep: (view, nextUseInMs) => idleCostPerMs(view) * nextUseInMs < coldStartCost(view) ? nextUseInMs + 1 : 0,
  planPreload: neverPreload,
  chooseVictims: evictLeastLoss,
  idleCostWeight
})
