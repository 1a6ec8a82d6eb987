/** Runs a small site through a cold burst, streams, a billed call, its resend and the replacement of an instance. */
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

/** Time for which callers go on before and after the replacement. */
const STEADY_MS = 3000

/** Pause between two requests of one caller while the instance is replaced. */
const STEADY_PAUSE_MS = 100

const say = (text: string): void => { process.stdout.write(`${((timers.nowMs() - startedMs) / 1000).toFixed(1).padStart(5)} s  ${text}\n`) }

const askTimed = async (site: Site, plan: RequestPlan): Promise<TimedOutcome> => {
  const startedAtMs = timers.unixMs()
  return { startedAtMs, outcome: await sendUntilEnded(site.routerAddresses, plan) }
}

const burst = async (site: Site, count: number, plan: Omit<RequestPlan, 'prompt'>): Promise<readonly TimedOutcome[]> =>
  await Promise.all(Array.from({ length: count }, async (_, index) => await askTimed(site, { ...plan, prompt: `burst ${plan.model} ${index}` })))

const stream = async (site: Site): Promise<readonly TimedOutcome[]> =>
  [await askTimed(site, { caller: 'inspector', service: 'reader-models', model: 'cracks', prompt: 'a long report', maxTokens: 120 })]

const billedTwice = async (site: Site): Promise<readonly TimedOutcome[]> => {
  const plan = { caller: 'crew', service: 'reader-models', model: 'salt-bloom', adapter: 'tuff', prompt: 'flag and bill the west wall', repeatable: false, requestKey: randomUUID(), issuedAtMs: timers.unixMs() }
  const first = await askTimed(site, plan)
  return [first, await askTimed(site, plan)]
}

const steady = async (site: Site, caller: string, model: string, over: AbortSignal): Promise<readonly TimedOutcome[]> => {
  const outcomes: TimedOutcome[] = []
  while (!over.aborted) {
    outcomes.push(await askTimed(site, { caller, service: 'reader-models', model, prompt: `steady ${model} ${outcomes.length}`, maxTokens: 16 }))
    await sleep(timers, STEADY_PAUSE_MS)
  }
  return outcomes
}

/** The agent beside the engine that loaded the model last. */
const holderOf = (site: Site, model: string): string => {
  const loads = site.rig.events.all().filter(event => event.name === 'loadFinished' && event.model === model)
  return (loads.at(-1)?.instance ?? 'backend-a1').replace('backend-', '')
}

/** A new instance comes up, then the platform announces that an old one goes, stops it and takes it off the list. */
const replaceInstance = async (site: Site): Promise<void> => {
  const leaving = holderOf(site, 'reader-models/cracks')
  await site.addAgent({ name: 'a4', services: ['reader-models', 'survey-app'] })
  say(`a4 is up; ${leaving}, which holds cracks, is told to stop`)
  await site.list.command({ action: 'leaving', name: leaving })
  const { code } = await site.agent(leaving).stop()
  await site.backend(leaving).stop()
  await site.delist(leaving)
  say(`${leaving} has stopped with code ${code}`)
}

const maxReplicasIn = (changes: readonly ConfigChange[]) => (modelId: string): number => {
  const [service, model] = modelId.split('/')
  const { models = [] } = (changes.find(change => change.name === `service/${service}`)?.body ?? {}) as { models?: ReadonlyArray<{ name: string, maxReplicas: number }> }
  return models.find(({ name }) => name === model)?.maxReplicas ?? 0
}

const runDemo = async (site: Site): Promise<readonly TimedOutcome[]> => {
  say('a cold burst of 40 at both routers, and one at another service')
  const cold = await Promise.all([
    burst(site, 40, { caller: 'crew', service: 'reader-models', model: 'cracks' }),
    burst(site, 8, { caller: 'clerk', service: 'survey-app', model: 'summary' })
  ])
  say('a stream; a call that may not be repeated, and its resend')
  const single = await Promise.all([stream(site), billedTwice(site)])
  say('steady callers while one instance is replaced')
  const over = new AbortController()
  const callers = [steady(site, 'crew', 'cracks', over.signal), steady(site, 'inspector', 'water-damage', over.signal)]
  await sleep(timers, STEADY_MS)
  await replaceInstance(site)
  await sleep(timers, STEADY_MS)
  over.abort()
  return [...cold, ...single, ...await Promise.all(callers)].flat()
}

const changes = readServices(SERVICES_FILE)
say('starting the platform, three agents with engines and two routers')
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
  const broken = printReport(outcomes, site.rig.events.all(), maxReplicasIn(changes))
  process.stdout.write(broken.length === 0 ? '\nNo answer was lost, doubled or wrong; no replica too many was loaded.\n' : `\nBROKEN\n${broken.join('\n')}\n`)
  process.exitCode = broken.length === 0 ? 0 : 1
} finally {
  await site.close()
}
