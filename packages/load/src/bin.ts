/** Command line of the load tool. */
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { createEventLog, createTimerService, describeSettingsFault, ExitCode, keepProcessAlive, VERSION } from '@figmount/base'
import { renderTable } from '@figmount/ctl'

import { loadExperiment } from './experiment/parseExperiment.js'
import { compareReports } from './report/compareReports.js'
import { renderReport, makeReportTable } from './report/renderReport.js'
import { checkStandinTokens } from './running/checkStandinTokens.js'
import { runExperiment } from './running/runExperiment.js'

import type { InstanceName } from '@figmount/base'
import type { Experiment } from './experiment/types.js'
import type { Report, RunFigures } from './report/types.js'
import type { CheckTokens } from './running/createSender.js'
import type { RunProgress } from './running/types.js'

const print = (text: string): void => { process.stdout.write(`${text}\n`) }

const exitWith = (code: number, message: string): never => {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}

const args = await yargs(hideBin(process.argv))
  .scriptName('figmount-load')
  .usage('$0 FILE\n\nRuns an experiment with seeded, open-loop traffic whose callers keep retrying.')
  .option('check', { type: 'boolean', default: false, describe: 'check the experiment file and exit' })
  .option('routers', { type: 'string', describe: 'host:port, with commas between several; overrides the file' })
  .option('runs', { type: 'number', default: 1, describe: 'number of runs, each with the next seed, to estimate the noise' })
  .option('report', { type: 'string', describe: 'write the report as JSON to this file' })
  .option('html', { type: 'string', describe: 'write the report as a page with plots to this file' })
  .option('against', { type: 'string', describe: 'compare the report with this earlier one' })
  .option('event-file', { type: 'string', describe: "write the callers' events to this file, for figmount-timeline" })
  .option('standin-tokens', { type: 'boolean', default: false, describe: 'check every token against what the stand-in engines generate' })
  .demandCommand(1, 'an experiment file is needed')
  .version(VERSION)
  .strict()
  .fail((message, error) => exitWith(ExitCode.Usage, message ?? error.message))
  .parseAsync()

const loaded = loadExperiment(String(args._[0]))
if (loaded.isLeft()) exitWith(ExitCode.Settings, loaded.swap().orDefault([]).map(describeSettingsFault).join('\n'))
const fileExperiment = loaded.unsafeCoerce()
const experiment: Experiment = args.routers === undefined ? fileExperiment : { ...fileExperiment, routers: args.routers.split(',') }
if (args.check) {
  print(`${String(args._[0])}: the experiment is valid`)
  process.exit(ExitCode.Ok)
}
if (experiment.routers.length === 0) exitWith(ExitCode.Usage, 'no routers: set routers in [experiment] or pass --routers')

const timers = createTimerService()
const eventFile = args.eventFile === undefined ? undefined : createWriteStream(args.eventFile)
const events = createEventLog({
  instance: 'load' as InstanceName,
  role: 'load',
  timers,
  ...(eventFile ? { writeLine: (line: string): void => { eventFile.write(`${line}\n`) } } : {})
})

const checkTokens: CheckTokens = (...answer) => !args.standinTokens || checkStandinTokens(...answer)

// figmount's timers do not keep the process alive, and between two requests nothing else is pending.
keepProcessAlive()

const stop = new AbortController()
process.once('SIGINT', () => stop.abort())
process.once('SIGTERM', () => stop.abort())

const onProgress = (progress: RunProgress): void => {
  process.stderr.write(`${Math.round(progress.elapsedMs / 1000)} s: ${progress.endedCount} ended of ${progress.sentCount} sent of ${progress.plannedCount}\n`)
}

const runs: RunFigures[] = []
const seeds: number[] = []
for (let index = 0; index < args.runs && !stop.signal.aborted; index++) {
  const seed = experiment.seed + index
  const figures = await runExperiment({ ...experiment, seed }, { timers, events, checkTokens, onProgress, signal: stop.signal })
  runs.push(figures)
  seeds.push(seed)
  const { headings, rows } = makeReportTable(figures)
  print(`\n${experiment.name}, seed ${seed}${figures.partial ? ', PARTIAL: aborted' : ''}`)
  print(renderTable(headings, rows))
}

const report: Report = { experiment: experiment.name, seeds, runs }
if (args.report) writeFileSync(args.report, `${JSON.stringify(report, null, 2)}\n`)
if (args.html) writeFileSync(args.html, renderReport(report))
if (args.against) {
  const changes = compareReports(JSON.parse(readFileSync(args.against, 'utf8')) as Report, report)
  print(`\nagainst ${args.against}`)
  print(renderTable(
    ['traffic', 'figure', 'before', 'after', 'noise', 'judgement'],
    changes.map(change => [change.traffic, change.figure, change.before.toFixed(1), change.after.toFixed(1), change.noise.toFixed(1), change.judgement])))
}
const isClean = runs.every(run => !run.partial && run.traffic.every(traffic => traffic.brokenCount === 0))
process.exit(isClean ? ExitCode.Ok : ExitCode.Failed)
