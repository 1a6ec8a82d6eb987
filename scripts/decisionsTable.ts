/**
 * Writes `docs/decisions/table.md` and its charts from simulations in virtual time; the output is deterministic. With
 * `--check` it writes nothing and exits with 1 if the committed files are out of date.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'

import { makeKeepAliveTable } from './decisions/keepAliveTable.js'
import { makePatternTable } from './decisions/patternTable.js'
import { makeRushTable } from './decisions/rushTable.js'
import { renderSvgChart } from './decisions/renderSvgChart.js'

import type { OutageRun } from './decisions/patternTable.js'
import type { Chart } from './decisions/renderSvgChart.js'

const DIRECTORY = 'docs/decisions'
const BUCKET_SECONDS = 10

const outageChart = (runs: readonly OutageRun[]): Chart => ({
  title: 'Served requests after an outage from 60 to 120 s',
  xTitle: 's',
  yTitle: 'served in 10 s',
  maxX: 420,
  maxY: 120,
  series: runs.filter(run => !run.policy.startsWith('but')).map((run, index) => ({
    name: run.policy,
    colour: index === 0 ? '#c1121f' : '#0b6e4f',
    points: run.servedPerBucket.map((y, bucket) => ({ x: (bucket + 1) * BUCKET_SECONDS, y }))
  }))
})

const renderPage = (patterns: readonly string[], keepAlive: readonly string[], rush: readonly string[]): string => [
  '# Decisions under load: the table',
  '',
  'Written by `npm run decisions:table`; virtual time, one seed, exact. "But" rows are figmount with one module put back to',
  'another way. Columns: served of all requests until the end; attempts served a second; time from the first send to the',
  'first token over all resends (unserved ones count with their age); deadlines missed after admission; refusals; time that',
  'callers lost with refused attempts, mean over all requests; part of the refusals told within a second; part of the',
  'checked refusals for which the server had no empty place in time; attempts made; Jain\'s index over callers of served',
  'over demanded tokens; loads; arrival of the last request that waited over 5 s.',
  'Fleet: 4 servers of 8 places (12 for many routers), reports each second and 0.2 s late.',
  '',
  '## Patterns',
  '',
  ...patterns,
  '',
  '![Served requests after an outage](outage.svg)',
  '',
  '## Keep-alive',
  '',
  'Six days after two of history. Waiting is for loads only, over all uses. Models of a site: used daily, by schedule,',
  'some times a day, rarely. Hindsight knows the next use and decides each gap by itself; it does not preload.',
  '',
  ...keepAlive,
  '',
  '![Consortium](keepalive-consortium.svg)',
  '',
  '![Carpatica](keepalive-carpatica.svg)',
  '',
  '## Rush to the weight store',
  '',
  'All agents want the store at once; it admits two a second and shares its speed beyond four. Mean of eight seeds.',
  '',
  ...rush,
  ''
].join('\n')

const makeFiles = (): ReadonlyMap<string, string> => {
  const patterns = makePatternTable()
  const keepAlive = makeKeepAliveTable()
  const [consortium, carpatica] = keepAlive.charts
  return new Map([
    ['table.md', renderPage(patterns.lines, keepAlive.lines, makeRushTable())],
    ['outage.svg', renderSvgChart(outageChart(patterns.outage))],
    ['keepalive-consortium.svg', consortium ? renderSvgChart(consortium) : ''],
    ['keepalive-carpatica.svg', carpatica ? renderSvgChart(carpatica) : '']
  ])
}

const isCurrent = (name: string, content: string): boolean => {
  try {
    return readFileSync(`${DIRECTORY}/${name}`, 'utf8') === content
  } catch {
    return false
  }
}

const staleFiles = [...makeFiles()].filter(([name, content]) => !isCurrent(name, content))
if (process.argv.includes('--check')) {
  for (const [name] of staleFiles) console.error(`${DIRECTORY}/${name} is out of date: run npm run decisions:table`)
  process.exitCode = staleFiles.length === 0 ? 0 : 1
} else {
  mkdirSync(DIRECTORY, { recursive: true })
  for (const [name, content] of staleFiles) writeFileSync(`${DIRECTORY}/${name}`, content)
}
