/** Benchmarks figmount against stand-ins on this machine, prints a table and writes `out/bench.json`. */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createTimerService } from '@figmount/base'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'

import { compareRows, findMissingBounds } from './bench/compareRows.js'
import { measureAll } from './bench/measureAll.js'
import { renderCompared, renderRows } from './bench/renderRows.js'

import type { BenchFile, BenchRow } from './bench/types.js'

const OUT_FOLDER = 'out'

const readRows = (file: string): readonly BenchRow[] => (JSON.parse(readFileSync(file, 'utf8')) as BenchFile).rows

const { against } = await yargs(hideBin(process.argv))
  .option('against', { type: 'string', describe: 'result file of an earlier run to compare with' })
  .strict()
  .parse()

// Read before the run, which overwrites out/bench.json: `--against` may name that same file.
const earlier = against === undefined ? undefined : readRows(against)
const rows = await measureAll()
const measured: BenchFile = { measuredAt: new Date(createTimerService().unixMs()).toISOString(), nodeVersion: process.version, rows }
mkdirSync(OUT_FOLDER, { recursive: true })
writeFileSync(`${OUT_FOLDER}/bench.json`, `${JSON.stringify(measured, null, 2)}\n`)

if (earlier === undefined) process.stdout.write(`${renderRows(rows)}\n`)
else {
  const compared = compareRows(rows, earlier)
  const missing = findMissingBounds(rows, earlier)
  process.stdout.write(`${renderCompared(compared)}\n`)
  for (const name of missing) process.stdout.write(`MISSING ${name}: measured in the earlier run only\n`)
  process.exitCode = missing.length > 0 || compared.some(({ isBeyondBound }) => isBeyondBound) ? 1 : 0
}
