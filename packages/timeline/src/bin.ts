/** Command line of `figmount-timeline`. */
import { writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { ExitCode, VERSION } from '@figmount/base'

import { checkPromises } from './checking/checkPromises.js'
import { buildDiagram } from './drawing/buildDiagram.js'
import { renderSvg } from './drawing/renderSvg.js'
import { renderText } from './drawing/renderText.js'
import { filterEvents } from './filtering/filterEvents.js'
import { orderEvents } from './ordering/orderEvents.js'
import { readEvents } from './reading/readEvents.js'

import type { CheckResult } from './checking/types.js'
import type { EventFilter } from './filtering/filterEvents.js'

const print = (line: string): void => { process.stdout.write(`${line}\n`) }

const printResult = (result: CheckResult): void => {
  for (const [promise, count] of Object.entries(result.caseCounts)) {
    const brokenCount = result.violations.filter(violation => violation.promise === promise).length
    const outcome = brokenCount > 0 ? `BROKEN ${brokenCount} times` : count > 0 ? 'held' : 'not tested by this run'
    print(`${promise}: ${outcome} (${count} cases)`)
  }
  for (const violation of result.violations) {
    print(`BROKEN ${violation.promise}: ${violation.detail}`)
    for (const line of renderText(violation.evidence)) print(`  ${line}`)
  }
}

const args = await yargs(hideBin(process.argv))
  .scriptName('figmount-timeline')
  .usage('$0 FILE...\n\nPuts the events of all processes on one time line. FILE - is standard input.')
  .option('key', { type: 'string', describe: 'only events of the request with this key' })
  .option('model', { type: 'string', describe: 'only events of this model, as service/model' })
  .option('instance', { type: 'string', describe: 'only events of this instance' })
  .option('number', { type: 'number', array: true, describe: 'only events with these numbers' })
  .option('svg', { type: 'string', describe: 'write an SVG diagram to this file instead of printing text' })
  .option('check', { type: 'boolean', default: false, describe: 'check the promises; exit with 1 if one is broken' })
  .demandCommand(1, 'at least one event file is required')
  .version(VERSION)
  .strict()
  .fail((message, error) => {
    process.stderr.write(`${message ?? error.message}\n`)
    process.exit(ExitCode.Usage)
  })
  .parseAsync()

const filter: EventFilter = {
  ...(args.key === undefined ? {} : { requestKey: args.key }),
  ...(args.model === undefined ? {} : { model: args.model }),
  ...(args.instance === undefined ? {} : { instance: args.instance }),
  ...(args.number === undefined ? {} : { numbers: args.number })
}

try {
  const input = await readEvents(args._.map(String))
  const ordered = orderEvents(input.events)
  const matching = filterEvents(ordered, filter)
  if (input.rejectedLineCount > 0) process.stderr.write(`${input.rejectedLineCount} lines were skipped: not events\n`)
  if (args.check) {
    const verdict = checkPromises(ordered)
    printResult(verdict)
    process.exit(verdict.violations.length === 0 ? ExitCode.Ok : ExitCode.Failed)
  }
  if (args.svg) writeFileSync(args.svg, renderSvg(buildDiagram(matching)))
  else for (const line of renderText(matching)) print(line)
} catch (error) {
  process.stderr.write(`figmount-timeline: ${(error as Error).message}\n`)
  process.exit(ExitCode.Failed)
}
