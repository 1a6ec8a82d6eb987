/** Writes docs/CAPACITY.md from the measurements and the page on sweeps; with `--check` it only compares. */
import { readFileSync, writeFileSync } from 'node:fs'
import { fitSlope, renderPage } from '@figmount/capacity'

import type { Measurement } from '@figmount/capacity'

const MEASUREMENTS = 'docs/capacity/measurements.json'
const PLATFORM = 'docs/capacity/sweeps.md'
const PAGE = 'docs/CAPACITY.md'

const measurements = JSON.parse(readFileSync(MEASUREMENTS, 'utf8')) as readonly Measurement[]
const page = renderPage(measurements.map(measurement => fitSlope(measurement).unsafeCoerce()), readFileSync(PLATFORM, 'utf8'))
if (process.argv.includes('--check')) {
  if (readFileSync(PAGE, 'utf8') !== page) {
    process.stderr.write(`${PAGE} does not match ${MEASUREMENTS} and ${PLATFORM}: run npm run capacity:page\n`)
    process.exit(1)
  }
  process.stdout.write(`${PAGE} is current\n`)
} else {
  writeFileSync(PAGE, page)
}
