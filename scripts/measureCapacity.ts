/** Measures the slopes for the capacity page and writes them to a file. Arguments select parts; without any, all are measured. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs'

import { measureInForce } from '../packages/capacity/src/measuring/measureInForce.js'
import { measureLinks } from '../packages/capacity/src/measuring/measureLinks.js'
import { measureRecords } from '../packages/capacity/src/measuring/measureRecords.js'
import { measureRequests } from '../packages/capacity/src/measuring/measureRequests.js'
import { measureSites } from '../packages/capacity/src/measuring/measureSites.js'

import type { Measurement } from '../packages/capacity/src/slopes/types.js'

const FILE = 'docs/capacity/measurements.json'

const PARTS: Readonly<Record<string, () => Promise<readonly Measurement[]>>> = {
  records: measureRecords,
  links: measureLinks,
  requests: measureRequests,
  sites: measureSites,
  inForce: measureInForce
}

const selectedParts = process.argv.slice(2)
const earlier: readonly Measurement[] = existsSync(FILE) ? JSON.parse(readFileSync(FILE, 'utf8')) as Measurement[] : []
const byName = new Map(earlier.map(measurement => [measurement.name, measurement]))
for (const [part, measure] of Object.entries(PARTS)) {
  if (selectedParts.length > 0 && !selectedParts.includes(part)) continue
  for (const measurement of await measure()) {
    byName.set(measurement.name, measurement)
    process.stdout.write(`${measurement.name} ${measurement.unit}: ${measurement.points.map(({ size, value }) => `${size}→${value.toFixed(1)}`).join(' ')}\n`)
  }
  writeFileSync(FILE, `${JSON.stringify([...byName.values()], null, 1)}\n`)
}
process.exit(0)
