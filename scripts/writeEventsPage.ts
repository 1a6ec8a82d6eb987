/** Writes docs/EVENTS.md from the event catalogues; with `--check` it only compares. */
import { readFileSync, writeFileSync } from 'node:fs'

import { readCatalogues } from './readCatalogues.js'
import { renderEventsPage } from './renderEventsPage.js'

const PAGE = 'docs/EVENTS.md'

const page = renderEventsPage(await readCatalogues())
if (process.argv.includes('--check')) {
  if (readFileSync(PAGE, 'utf8') !== page) {
    process.stderr.write(`${PAGE} does not match the event catalogues: run npm run docs:events\n`)
    process.exit(1)
  }
  process.stdout.write(`${PAGE} is current\n`)
} else {
  writeFileSync(PAGE, page)
}
