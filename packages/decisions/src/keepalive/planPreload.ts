import { coldStartCost, idleCostPerMs } from './keepByHistory.js'

import type { IdleView } from './types.js'

/** Time after which an unloaded model should be loaded again ahead of demand; undefined when it should not. */
export type PlanPreload = (view: IdleView) => number | undefined

/** Baseline: models are loaded on demand only. */
export const neverPreload: PlanPreload = () => undefined

/** Minimum number of gaps. Three equal ones in a row happen by chance for one in a few dozen models. */
const MIN_GAPS = 6
/** Maximum spread of the middle eight in ten gaps, relative to their median, for use to count as regular. */
const MAX_REGULAR_SPREAD = 0.3
/** Share of the earliest usual gap after which loading should be complete. */
const EARLY_SHARE = 0.95

/** Share of uses that arrive after a preload and therefore avoid their cold start. */
const HIT_SHARE = 0.9

const quantile = (sorted: readonly number[], share: number): number => sorted[Math.floor(share * (sorted.length - 1))] ?? 0

/**
 * Loads a model again shortly before its next use when it is used at regular intervals.
 *
 * Load pattern: a scheduled job uses a model every hour or every morning. The alternatives are a cold start each time or
 * keeping the model for the whole gap. On the simulated sites preloading cuts the mean wait to a half or a
 * third at weights of 0.5 and more, for a tenth more idle time (`docs/design/keepalive.md`).
 */
export const preloadRegular: PlanPreload = view => {
  if (view.pastGapsMs.length < MIN_GAPS || view.idleCostWeight >= 1) return undefined
  const sorted = [...view.pastGapsMs].sort((a, b) => a - b)
  const earlyMs = quantile(sorted, 0.1)
  const medianMs = quantile(sorted, 0.5)
  if (quantile(sorted, 0.9) - earlyMs > medianMs * MAX_REGULAR_SPREAD) return undefined
  const loadAtMs = earlyMs * EARLY_SHARE - view.reloadMs
  if (loadAtMs <= view.idleMs) return undefined
  const idleCost = idleCostPerMs(view) * (medianMs - loadAtMs)
  // If the idle time costs more than the cold start, keep-alive would unload the model again at once.
  if (idleCost > coldStartCost(view) * HIT_SHARE) return undefined
  return loadAtMs - view.idleMs
}
