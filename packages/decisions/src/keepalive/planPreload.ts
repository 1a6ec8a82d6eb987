import { costOfColdStart, priceOfIdle } from './keepByHistory.js'

import type { IdleView } from './types.js'

/** Says after which time an unloaded model should be loaded again unasked; undefined when it should not. */
export type PlanPreload = (view: IdleView) => number | undefined

/** Baseline: models are loaded when somebody asks. */
export const neverPreload: PlanPreload = () => undefined

/** Fewer gaps are no rhythm: three equal ones in a row happen by chance to one in a few dozen models. */
const LEAST_GAPS = 6
/** Spread of the middle eight in ten gaps over their median, up to which use counts as regular. */
const REGULAR_SPREAD = 0.3
/** Loaded this much before the earliest of the usual gaps, so that loading itself is done by then. */
const EARLY_SHARE = 0.95

/** Part of the uses that come after a preload and so save their cold start. */
const HIT_SHARE = 0.9

const at = (sorted: readonly number[], share: number): number => sorted[Math.floor(share * (sorted.length - 1))] ?? 0

/**
 * Loads a model again shortly before its next use when it is used at regular gaps.
 *
 * Load pattern: a scheduled job wakes a model every hour or every morning. Without it the choice is between a cold
 * start each time and keeping the model for the whole gap. On the simulated sites it cuts the mean wait to a half or a
 * third at weights of 0.5 and more, for a tenth more idle time (`docs/design/keepalive.md`).
 */
export const preloadRegular: PlanPreload = view => {
  if (view.pastGapsMs.length < LEAST_GAPS || view.idleCostWeight >= 1) return undefined
  const sorted = [...view.pastGapsMs].sort((a, b) => a - b)
  const earlyMs = at(sorted, 0.1)
  const medianMs = at(sorted, 0.5)
  if (at(sorted, 0.9) - earlyMs > medianMs * REGULAR_SPREAD) return undefined
  const loadAtMs = earlyMs * EARLY_SHARE - view.reloadMs
  if (loadAtMs <= view.idleMs) return undefined
  const idleCost = priceOfIdle(view) * (medianMs - loadAtMs)
  // Not worth its idle time: keep-alive would unload it again at once, and the load would be for nothing.
  if (idleCost > costOfColdStart(view) * HIT_SHARE) return undefined
  return loadAtMs - view.idleMs
}
