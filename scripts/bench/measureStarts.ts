import { execFile } from 'node:child_process'
import { readdirSync, statSync } from 'node:fs'
import { promisify } from 'node:util'
import { createTimerService } from '@figmount/base'

import { residentMbOf } from '../../packages/capacity/src/measuring/readProcess.js'
import { START_COUNT } from './constants.js'
import { createQuantiles } from './createQuantiles.js'

import type { RigProcess, Site } from '@figmount/proof'
import type { BenchRow } from './types.js'

const DIST = 'dist'
const MEDIAN = 50
const BYTES_PER_KB = 1024
const TOOLS = ['figmountctl', 'figmount-timeline', 'figmount-load'] as const

const timers = createTimerService()
const runFile = promisify(execFile)

const measureMedianMs = async (prepare: () => Promise<unknown>, start: () => Promise<unknown>): Promise<number> => {
  const quantiles = createQuantiles()
  for (let index = 0; index < START_COUNT; index += 1) {
    await prepare()
    const startedMs = timers.nowMs()
    await start()
    quantiles.recordMs(timers.nowMs() - startedMs)
  }
  return quantiles.atMs(MEDIAN)
}

const measureProcess = async (name: string, process: RigProcess): Promise<readonly BenchRow[]> => [
  { name: `memory.${name}`, value: residentMbOf(process.pid()), unit: 'MB', method: 'resident, after the requests of this run' },
  { name: `start.${name}`, value: await measureMedianMs(process.kill, process.restart), unit: 'ms', method: `spawn to processStarted, median of ${START_COUNT}` }
]

const measureTool = async (name: string): Promise<BenchRow> => ({
  name: `start.${name}`,
  value: await measureMedianMs(async () => {}, async () => await runFile(process.execPath, [`${DIST}/${name}.mjs`, '--version'])),
  unit: 'ms',
  method: `spawn to exit of --version, median of ${START_COUNT}`
})

const measureSizes = (): readonly BenchRow[] => readdirSync(DIST).sort().map(file =>
  ({ name: `size.${file}`, value: statSync(`${DIST}/${file}`).size / BYTES_PER_KB, unit: 'KB', method: `size of ${DIST}/${file}` }))

/** Measures startup time and resident memory of router and agent, startup time of the tools, and bundle sizes. */
export const measureStarts = async (site: Site): Promise<readonly BenchRow[]> => {
  const rows = [...await measureProcess('figmount-router', site.router('r1')), ...await measureProcess('figmount-agent', site.agent('a1'))]
  for (const name of TOOLS) rows.push(await measureTool(name))
  return [...rows, ...measureSizes()]
}
