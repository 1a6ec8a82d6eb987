/** Starts a deployment of real processes and stand-ins, runs its experiment against it and checks the promises. */
import { createEventLog, createTimerService } from '@figmount/base'
import { renderTable } from '@figmount/ctl'
import { createSite } from '@figmount/proof'
import { checkPromises, orderEvents } from '@figmount/timeline'
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs'

import { checkStandinTokens, parseExperiment, runExperiment } from '@figmount/load'
import { makeReportTable, renderReport } from '../packages/load/src/report/renderReport.js'
import { measureAccelerators } from './experiments/measureAccelerators.js'
import { DEPLOYMENTS } from './experiments/deployments.js'

import type { EventRecord, InstanceName } from '@figmount/base'

const OUT_FOLDER = 'out'
const READY_MS = 30_000

const name = process.argv[2] ?? 'consortium'
const deployment = DEPLOYMENTS[name]
if (!deployment) throw new Error(`deployment "${name}" does not exist, expected one of ${Object.keys(DEPLOYMENTS).join(', ')}`)
const file = `experiments/${name}.ini`
const experiment = parseExperiment(file, readFileSync(file, 'utf8')).unsafeCoerce()

const timers = createTimerService()
const loadEvents: EventRecord[] = []
const events = createEventLog({ instance: 'load' as InstanceName, role: 'load', timers })
events.subscribe(event => { loadEvents.push(event) })

const site = await createSite(deployment.site)
try {
  await site.apply(deployment.changes)
  const slotCount = deployment.changes.flatMap(change => (change.body as { models?: ReadonlyArray<{ maxReplicas: number }> }).models ?? [])
    .reduce((sum, model) => sum + model.maxReplicas, 0)
  await site.rig.waitUntil('every slot to be granted', async () => {
    const grantedCount = site.rig.events.all().filter(event => event.name === 'proposalMade').length
    return await Promise.resolve(grantedCount >= slotCount)
  }, READY_MS)
  const figures = await runExperiment({ ...experiment, routers: site.routerAddresses() }, {
    timers, events, checkTokens: checkStandinTokens, onProgress: progress => { process.stderr.write(`${progress.endedCount} requests ended of ${progress.sentCount} sent\n`) }, signal: new AbortController().signal
  })
  const allEvents = orderEvents([...site.rig.events.all(), ...loadEvents])
  const verdict = checkPromises(allEvents)
  const { headings, rows } = makeReportTable(figures)
  process.stdout.write(`${renderTable(headings, rows)}\n\n${JSON.stringify(measureAccelerators(allEvents))}\n`)
  for (const traffic of figures.traffic) process.stdout.write(`${traffic.name}: refusals ${JSON.stringify(traffic.refusalsByReason)}\n`)
  for (const [promise, count] of Object.entries(verdict.caseCounts)) process.stdout.write(`${promise}: ${count} cases, ${verdict.violations.filter(violation => violation.promise === promise).length} broken\n`)
  for (const violation of verdict.violations.slice(0, 10)) process.stdout.write(`BROKEN ${violation.promise}: ${violation.detail}\n`)
  mkdirSync(OUT_FOLDER, { recursive: true })
  writeFileSync(`${OUT_FOLDER}/${name}.json`, `${JSON.stringify({ experiment: name, seeds: [experiment.seed], runs: [figures] }, null, 2)}\n`)
  writeFileSync(`${OUT_FOLDER}/${name}.html`, renderReport({ experiment: name, seeds: [experiment.seed], runs: [figures] }))
  writeFileSync(`${OUT_FOLDER}/${name}.events.jsonl`, allEvents.map(({ event }) => JSON.stringify(event)).join('\n'))
  process.exitCode = verdict.violations.length === 0 ? 0 : 1
} finally {
  await site.close()
}
