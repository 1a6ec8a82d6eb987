import type { IdleView, KeepAlive } from './types.js'

/**
 * Ms of idle accelerator that one ms of cold start is worth at equal weights. A crew that waits is dearer than a card
 * that idles; the consortium's and Carpatica's curves in `docs/design/keepalive.md` show what it brings about.
 */
const COLD_START_WORTH = 60
/** Weight of the prior against observed gaps: two gaps' worth, so that a handful of own gaps outweighs it. */
const PRIOR_COUNT = 2
/**
 * Gaps to expect of a model nobody knows: ten seconds to a week, even on a log scale, as the use of rare models is
 * spread over it. Steps of a half are fine enough that no single one of them holds a model.
 */
const PRIOR_GAPS_MS: readonly number[] = Array.from({ length: 28 }, (_, step) => 10_000 * 1.5 ** step)
/** Longest stay decided at a time; the decision is taken anew then. */
const LONGEST_MS = 6 * 3_600_000
/** A gap is covered with this much room, since the next one of a regular pattern is not exactly the same. */
const GAP_MARGIN = 1.1
/** Full pressure makes idle memory this much dearer. */
const PRESSURE_FACTOR = 3

interface WeightedGap {
  readonly gapMs: number
  readonly weight: number
}

/** Own gaps and the prior, as far as they are still possible after the present idle time; shortest first. */
const possibleGaps = (view: IdleView): readonly WeightedGap[] => {
  const own = view.pastGapsMs.map(gapMs => ({ gapMs: gapMs * GAP_MARGIN, weight: 1 }))
  const prior = PRIOR_GAPS_MS.map(gapMs => ({ gapMs, weight: PRIOR_COUNT / PRIOR_GAPS_MS.length }))
  return [...own, ...prior].filter(gap => gap.gapMs > view.idleMs).sort((a, b) => a.gapMs - b.gapMs)
}

/** Cost of one idle ms, in the unit of `costOfColdStart`. */
export const priceOfIdle = (view: IdleView): number => {
  const pressure = 1 + PRESSURE_FACTOR * (view.memoryPressure ?? 0)
  return view.idleCostWeight * view.memoryShare * pressure
}

/** Cost of one cold start of the model. */
export const costOfColdStart = (view: IdleView): number =>
  (1 - view.idleCostWeight) * COLD_START_WORTH * view.reloadMs

/**
 * Keeps an idle model until the moment that costs least by its own arrival history: for each past gap the cost of
 * staying that long is the idle time until the next use, and of leaving earlier a cold start.
 *
 * Load pattern: most models idle, each with its own rhythm: one every few minutes, one each morning, one a month.
 * Without it a fixed time-out keeps the monthly one as long as the busy one, and drops the one that comes back a
 * minute after the time-out each time.
 *
 * With weight 0 a model stays for as long as memory allows, with weight 1 it leaves at once. A model without history
 * gets a spread-out prior, which amounts to the break-even stay of the ski-rental rule.
 */
export const keepByHistory: KeepAlive = view => {
  if (view.idleCostWeight <= 0) return LONGEST_MS
  if (view.idleCostWeight >= 1) return 0
  const gaps = possibleGaps(view)
  const price = priceOfIdle(view)
  const coldCost = costOfColdStart(view)
  let remainingWeight = gaps.reduce((sum, gap) => sum + gap.weight, 0)
  let spentMs = 0
  let bestMs = 0
  let bestCost = remainingWeight * coldCost
  for (const gap of gaps) {
    const stayMs = gap.gapMs - view.idleMs
    remainingWeight -= gap.weight
    spentMs += gap.weight * stayMs
    const cost = price * (spentMs + remainingWeight * stayMs) + remainingWeight * coldCost
    if (cost >= bestCost) continue
    bestCost = cost
    bestMs = stayMs
  }
  return Math.min(LONGEST_MS, bestMs)
}
