import { carpatica, consortium } from '../../packages/decisions/src/simulation/keepalive/deployments.js'
import { byHistory, fixedTime, leastRecent, withHindsight, withoutPreload } from '../../packages/decisions/src/simulation/keepalive/keepPolicies.js'
import { simulateKeepAlive } from '../../packages/decisions/src/simulation/keepalive/simulateKeepAlive.js'

import type { Deployment, KeepMeasures } from '../../packages/decisions/src/simulation/keepalive/types.js'
import type { Chart, ChartSeries } from './renderSvgChart.js'

const WEIGHTS = [0, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 0.8, 0.9, 0.95, 1] as const
const FIXED_MINUTES = [1, 5, 15, 30, 60, 240] as const
const MINUTE_MS = 60_000
const HOURS_PER_DAY = 24

interface KeepRun {
  readonly policy: string
  readonly setting: string
  readonly measures: KeepMeasures
}

/** All models and adapters loaded all the time: no cold starts, but more memory than the site has. */
const measureAlwaysOn = (deployment: Deployment): KeepRun => {
  const memoryMb = [...deployment.models, ...deployment.adapters].reduce((sum, item) => sum + item.memoryMb, 0)
  const idleHoursPerDay = memoryMb / deployment.runnerMemoryMb * HOURS_PER_DAY
  const zeroMeasures = { useCount: 0, coldCount: 0, p95WaitMs: 0, p99WaitMs: 0, p999WaitMs: 0, meanWaitMs: 0, loadCount: 0 }
  return { policy: `always on (needs ${(memoryMb / deployment.runnerMemoryMb).toFixed(1)} accelerators, busy time included)`, setting: '', measures: { ...zeroMeasures, idleHoursPerDay } }
}

const simulateAll = (deployment: Deployment): readonly KeepRun[] => [
  ...WEIGHTS.map(weight => ({ policy: 'figmount', setting: String(weight), measures: simulateKeepAlive(deployment, byHistory(weight)) })),
  ...WEIGHTS.map(weight => ({ policy: 'without preloading', setting: String(weight), measures: simulateKeepAlive(deployment, withoutPreload(weight)) })),
  ...WEIGHTS.map(weight => ({ policy: 'hindsight', setting: String(weight), measures: simulateKeepAlive(deployment, withHindsight(weight)) })),
  ...FIXED_MINUTES.map(minutes => ({ policy: 'fixed time-out', setting: `${minutes} min`, measures: simulateKeepAlive(deployment, fixedTime(minutes * MINUTE_MS)) })),
  { policy: 'least recently used', setting: '', measures: simulateKeepAlive(deployment, leastRecent()) },
  measureAlwaysOn(deployment)
]

const seconds = (ms: number): string => (ms / 1_000).toFixed(1)

const renderRow = (site: string, { policy, setting, measures }: KeepRun): string => [
  '', site, policy, setting, measures.useCount, measures.coldCount, seconds(measures.meanWaitMs), seconds(measures.p95WaitMs),
  seconds(measures.p99WaitMs), seconds(measures.p999WaitMs), measures.idleHoursPerDay.toFixed(1), measures.loadCount, ''
].join(' | ').trim()

const TABLE_HEAD = [
  '| site | policy | weight or time | uses | cold | mean wait s | p95 s | p99 s | p99.9 s | idle accelerator h a day | loads |',
  '|---|---|---|---|---|---|---|---|---|---|---|'
]

const SERIES_STYLES: Readonly<Record<string, Pick<ChartSeries, 'colour' | 'isDashed'>>> = {
  figmount: { colour: '#0b6e4f' },
  'without preloading': { colour: '#d98e04' },
  hindsight: { colour: '#6a4c93', isDashed: true },
  'fixed time-out': { colour: '#c1121f' },
  'least recently used': { colour: '#1d3557' }
}

const makeChart = (deployment: Deployment, runs: readonly KeepRun[]): Chart => ({
  title: `Waiting for loads against idle accelerators: ${deployment.name}`,
  xTitle: 'idle accelerator hours a day',
  yTitle: 'mean wait for loads, s',
  maxX: 240,
  maxY: 12,
  series: Object.entries(SERIES_STYLES).map(([name, style]) => ({
    name,
    ...style,
    points: runs.filter(run => run.policy === name).map(run => ({
      x: run.measures.idleHoursPerDay,
      y: run.measures.meanWaitMs / 1_000,
      ...name === 'without preloading' || name === 'hindsight' ? {} : { label: run.setting }
    }))
  }))
})

/** Creates the table and the charts of both sites. */
export const makeKeepAliveTable = (): { readonly lines: readonly string[], readonly charts: readonly Chart[] } => {
  const lines = [...TABLE_HEAD]
  const charts: Chart[] = []
  for (const deployment of [consortium(), carpatica()]) {
    const runs = simulateAll(deployment)
    lines.push(...runs.map(run => renderRow(deployment.name, run)))
    charts.push(makeChart(deployment, runs))
  }
  return { lines, charts }
}
