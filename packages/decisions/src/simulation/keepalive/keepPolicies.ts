import { evictLeastLoss } from '../../eviction/evictLeastLoss.js'
import { evictLeastRecent } from '../../eviction/evictLeastRecent.js'
import { coldStartCost, keepByHistory, idleCostPerMs } from '../../keepalive/keepByHistory.js'
import { keepFixedTime } from '../../keepalive/keepFixedTime.js'
import { neverPreload, preloadRegular } from '../../keepalive/planPreload.js'

import type { KeepPolicies } from './types.js'

const UNLIMITED_MS = 1e12

/** The policies that figmount uses, at a given weight of idle cost. */
export const byHistory = (idleCostWeight: number): KeepPolicies =>
  ({ keep: keepByHistory, planPreload: preloadRegular, chooseVictims: evictLeastLoss, idleCostWeight })

/** The same without preloading. */
export const withoutPreload = (idleCostWeight: number): KeepPolicies =>
  ({ ...byHistory(idleCostWeight), planPreload: neverPreload })

/** Baseline: a fixed timeout. */
export const fixedTime = (keepMs: number): KeepPolicies =>
  ({ keep: keepFixedTime(keepMs), planPreload: neverPreload, chooseVictims: evictLeastRecent, idleCostWeight: 0.5 })

/** Baseline: models are unloaded only when their memory is needed, the least recently used first. */
export const leastRecent = (): KeepPolicies =>
  ({ keep: () => UNLIMITED_MS, planPreload: neverPreload, chooseVictims: evictLeastRecent, idleCostWeight: 0.5 })

/** The best decision for each gap on its own, given the actual time of the next use. */
export const withHindsight = (idleCostWeight: number): KeepPolicies => ({
  keep: (view, nextUseInMs) => idleCostPerMs(view) * nextUseInMs < coldStartCost(view) ? nextUseInMs + 1 : 0,
  planPreload: neverPreload,
  chooseVictims: evictLeastLoss,
  idleCostWeight
})
