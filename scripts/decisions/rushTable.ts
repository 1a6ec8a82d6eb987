import { backOffByNeed, backOffEqually } from '../../packages/decisions/src/loading/backOff.js'
import { shiftStart, simulateStoreRush } from '../../packages/decisions/src/simulation/simulateStoreRush.js'

import type { RushLoad, RushMeasures, RushStrategy } from '../../packages/decisions/src/simulation/simulateStoreRush.js'

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8] as const
const RETRY_PERIOD_MS = 20

const singleCallerLoads = (): readonly RushLoad[] => Array.from({ length: 12 }, () => ({ waitingCount: 1, priority: 5, loadMs: 15_000 }))

const meanOf = (runs: readonly RushMeasures[], pick: (run: RushMeasures) => number): number =>
  runs.reduce((sum, run) => sum + pick(run), 0) / runs.length

const renderRow = (rush: string, policy: string, loads: readonly RushLoad[], options: RushStrategy): string => {
  const runs = SEEDS.map(seed => simulateStoreRush(loads, options, seed))
  const meanSeconds = (pick: (run: RushMeasures) => number): string => (meanOf(runs, pick) / 1_000).toFixed(1)
  return `| ${rush} | ${policy} | ${meanSeconds(run => run.meanCallerWaitMs)} | ${meanSeconds(run => run.p99CallerWaitMs)} | ${meanSeconds(run => run.endMs)} | ${Math.round(meanOf(runs, run => run.refusedCount))} |`
}

const renderRows = (rush: string, loads: readonly RushLoad[]): readonly string[] => {
  const byNeed = [...loads].sort((a, b) => b.waitingCount - a.waitingCount)
  const central: RushStrategy = { backOff: () => RETRY_PERIOD_MS, centralLimit: 4 }
  return [
    renderRow(rush, 'equal back-off (baseline)', loads, { backOff: backOffEqually }),
    renderRow(rush, 'back-off by need (figmount)', loads, { backOff: backOffByNeed }),
    renderRow(rush, 'by need, also before the first ask', loads, { firstWait: backOffByNeed, backOff: backOffByNeed }),
    renderRow(rush, 'central queue by arrival (not to be had)', loads, central),
    renderRow(rush, 'central queue by need (not to be had)', byNeed, central)
  ]
}

/** Compares ways to share the weight store without a scheduler; mean over eight seeds. */
export const makeRushTable = (): readonly string[] => [
  '| rush | way | mean caller wait s | p99 s | last load s | refused |',
  '|---|---|---|---|---|---|',
  ...renderRows('40 loads, two of 40 callers', shiftStart()),
  ...renderRows('12 loads of one caller', singleCallerLoads())
]
