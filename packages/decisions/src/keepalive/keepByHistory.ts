import type { IdleView, KeepAlive } from './types.js'

/**
 * Ms of idle accelerator time that one ms of cold start costs at equal weights, because waiting people cost more than an idle
 * card. The consortium's and Carpatica's curves in `docs/design/keepalive.md` show the effect.
 */
const COLD_START_COST_FACTOR = 60
/** Weight of the prior relative to observed gaps: that of two gaps, so that a handful of observed gaps outweighs it. */
const PRIOR_WEIGHT = 2
/**
 * Prior distribution of gaps for a model without history: from ten seconds to a week, uniform on a log scale, like the use of
 * rarely used models. Steps of a factor of 1.5 are fine enough that no single one decides on its own.
 */
const PRIOR_GAPS_MS: readonly number[] = Array.from({ length: 28 }, (_, step) => 10_000 * 1.5 ** step)
/** Maximum time per decision, after which it is made again. */
const MAX_KEEP_MS = 6 * 3_600_000
/** Factor applied to observed gaps, because the next gap of a regular pattern is not exactly the same. */
const GAP_MARGIN = 1.1
/** Additional cost of idle memory at full memory pressure, as a multiple of its normal cost. */
const PRESSURE_FACTOR = 3

interface WeightedGap {
  readonly gapMs: number
  readonly weight: number
}

/** Observed gaps and the prior that are still possible after the current idle time; shortest first. */
const possibleGaps = (view: IdleView): readonly WeightedGap[] => {
  const own = view.pastGapsMs.map(gapMs => ({ gapMs: gapMs * GAP_MARGIN, weight: 1 }))
  const prior = PRIOR_GAPS_MS.map(gapMs => ({ gapMs, weight: PRIOR_WEIGHT / PRIOR_GAPS_MS.length }))
  return [...own, ...prior].filter(gap => gap.gapMs > view.idleMs).sort((a, b) => a.gapMs - b.gapMs)
}

/** Cost of one ms of idle time, in the unit of `coldStartCost`. */
export const idleCostPerMs = (view: IdleView): number => {
  const pressure = 1 + PRESSURE_FACTOR * (view.memoryPressure ?? 0)
  return view.idleCostWeight * view.memoryShare * pressure
}

/** Cost of one cold start of the model. */
export const coldStartCost = (view: IdleView): number =>
  (1 - view.idleCostWeight) * COLD_START_COST_FACTOR * view.reloadMs

/**
 * Keeps an idle model for the time with the lowest expected cost over its gap history: for each past gap, staying that long costs
 * the idle time until the next use, and leaving earlier costs a cold start.
 *
 * Load pattern: most models are idle, each with its own interval: minutes, a day or a month. A fixed timeout keeps the
 * monthly model as long as the busy one, and unloads the one that is used again a minute after the timeout each
 * time.
 *
 * With weight 0 a model stays as long as memory allows, with weight 1 it is unloaded at once. A model without history
 * gets a spread-out prior, which results in the break-even time of the ski-rental problem.
 */
export const keepByHistory: KeepAlive = view => {
  if (view.idleCostWeight <= 0) return MAX_KEEP_MS
  if (view.idleCostWeight >= 1) return 0
  const gaps = possibleGaps(view)
  const costPerMs = idleCostPerMs(view)
  const coldCost = coldStartCost(view)
  let remainingWeight = gaps.reduce((sum, gap) => sum + gap.weight, 0)
  let weightedIdleMs = 0
  let bestMs = 0
  let bestCost = remainingWeight * coldCost
  for (const gap of gaps) {
    const stayMs = gap.gapMs - view.idleMs
    remainingWeight -= gap.weight
    weightedIdleMs += gap.weight * stayMs
    const cost = costPerMs * (weightedIdleMs + remainingWeight * stayMs) + remainingWeight * coldCost
    if (cost >= bestCost) continue
    bestCost = cost
    bestMs = stayMs
  }
  return Math.min(MAX_KEEP_MS, bestMs)
}
