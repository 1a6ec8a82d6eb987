/** Runs a small site through a burst on unloaded models, streams, a billed call with a resend, and the replacement of an instance. */
import { randomUUID } from 'node:crypto'
import { join } from 'node:path'
import { createTimerService, sleep } from '@figmount/base'
import { sendUntilEnded, createSite } from '@figmount/proof'

import { printReport } from './demo/printReport.js'
import { readServices } from './demo/readServices.js'

import type { RequestPlan, ConfigChange, Site } from '@figmount/proof'
import type { TimedOutcome } from './demo/printReport.js'

const timers = createTimerService()
const startedMs = timers.nowMs()
const SERVICES_FILE = join(import.meta.dirname, 'demo', 'services.ini')

/** Time for which callers send requests before and after the replacement. */
const STEADY_MS = 3000

/** Pause between two requests of one caller during the replacement. */
const STEADY_PAUSE_MS = 100

const log = (text: string): void => { process.stdout.write(`${((timers.nowMs() - startedMs) / 1000).toFixed(1).padStart(5)} s  ${text}\n`) }

const sendTimed = async (site: Site, plan: RequestPlan): Promise<TimedOutcome> => {
  const startedAtMs = timers.unixMs()
  return { startedAtMs, outcome: await sendUntilEnded(site.routerAddresses, plan) }
}

const sendBurst = async (site: Site, count: number, plan: Omit<RequestPlan, 'prompt'>): Promise<readonly TimedOutcome[]> =>
  await Promise.all(Array.from({ length: count }, async (_, index) => await sendTimed(site, { ...plan, prompt: `burst ${plan.model} ${index}` })))

const sendStream = async (site: Site): Promise<readonly TimedOutcome[]> =>
  [await sendTimed(site, { caller: 'inspector', service: 'reader-models', model: 'cracks', prompt: 'a long report', maxTokens: 120 })]

const sendBilledTwice = async (site: Site): Promise<readonly TimedOutcome[]> => {
  const plan = { caller: 'crew', service: 'reader-models', model: 'salt-bloom', adapter: 'tuff', prompt: 'flag and bill the west wall', repeatable: false, requestKey: randomUUID(), issuedAtMs: timers.unixMs() }
  const first = await sendTimed(site, plan)
  return [first, await sendTimed(site, plan)]
}

const sendSteadily = async (site: Site, caller: string, model: string, signal: AbortSignal): Promise<readonly TimedOutcome[]> => {
  const outcomes: TimedOutcome[] = []
  while (!signal.aborted) {
    outcomes.push(await sendTimed(site, { caller, service: 'reader-models', model, prompt: `steady ${model} ${outcomes.length}`, maxTokens: 16 }))
    await sleep(timers, STEADY_PAUSE_MS)
  }
  return outcomes
}

/** Returns the agent of the engine that loaded the model most recently. */
const findAgentWithModel = (site: Site, model: string): string => {
  const loads = site.rig.events.all().filter(event => event.name === 'loadFinished' && event.model === model)
  return (loads.at(-1)?.instance ?? 'backend-a1').replace('backend-', '')
}

/** Starts a new instance, then lists an old one as leaving, stops it and removes it from the platform's list. */
const replaceInstance = async (site: Site): Promise<void> => {
  const replaced = findAgentWithModel(site, 'reader-models/cracks')
  await site.addAgent({ name: 'a4', services: ['reader-models', 'survey-app'] })
  log(`a4 has started; stopping ${replaced}, which has cracks loaded`)
  await site.list.command({ action: 'leaving', name: replaced })
  const { code } = await site.agent(replaced).stop()
  await site.backend(replaced).stop()
  await site.delist(replaced)
  log(`${replaced} has stopped with code ${code}`)
}

const createMaxReplicasLookup = (changes: readonly ConfigChange[]) => (modelId: string): number => {
  const [service, model] = modelId.split('/')
  const { models = [] } = (changes.find(change => change.name === `service/${service}`)?.body ?? {}) as { models?: ReadonlyArray<{ name: string, maxReplicas: number }> }
  return models.find(({ name }) => name === model)?.maxReplicas ?? 0
}

const runDemo = async (site: Site): Promise<readonly TimedOutcome[]> => {
  log('a burst of 40 requests for an unloaded model at both routers, and a burst for another service')
  const burstOutcomes = await Promise.all([
    sendBurst(site, 40, { caller: 'crew', service: 'reader-models', model: 'cracks' }),
    sendBurst(site, 8, { caller: 'clerk', service: 'survey-app', model: 'summary' })
  ])
  log('a stream; a call that must not run twice, and its resend')
  const streamsAndBilled = await Promise.all([sendStream(site), sendBilledTwice(site)])
  log('steady requests while one instance is replaced')
  const stopCallers = new AbortController()
  const callers = [sendSteadily(site, 'crew', 'cracks', stopCallers.signal), sendSteadily(site, 'inspector', 'water-damage', stopCallers.signal)]
  await sleep(timers, STEADY_MS)
  await replaceInstance(site)
  await sleep(timers, STEADY_MS)
  stopCallers.abort()
  return [...burstOutcomes, ...streamsAndBilled, ...await Promise.all(callers)].flat()
}

const changes = readServices(SERVICES_FILE)
log('starting the platform, three agents with engines and two routers')
const site = await createSite({
  name: 'demo',
  routers: [{ name: 'r1' }, { name: 'r2', dataCentre: 'aa-2' }],
  agents: [
    { name: 'a1', services: ['reader-models'] },
    { name: 'a2', services: ['reader-models'], dataCentre: 'aa-2' },
    { name: 'a3', services: ['reader-models', 'survey-app'], dataCentre: 'aa-2' }
  ]
})
try {
  await site.apply(changes)
  const outcomes = await runDemo(site)
  const violations = printReport(outcomes, site.rig.events.all(), createMaxReplicasLookup(changes))
  process.stdout.write(violations.length === 0 ? '\nNo answer was lost, duplicated or wrong; no model had too many replicas.\n' : `\nBROKEN\n${violations.join('\n')}\n`)
  process.exitCode = violations.length === 0 ? 0 : 1
} finally {
  await site.close()
}
