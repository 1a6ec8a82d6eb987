import { createTimerService } from '@figmount/base'
import { callerItem, createSite, modelService } from '@figmount/proof'

import { MODEL, QUICK_ENGINE, SERVICE } from './constants.js'
import { createCalls } from './createCalls.js'
import { measureLatency } from './measureLatency.js'
import { measureProcessor } from './measureProcessor.js'
import { measureRecords } from './measureRecords.js'
import { measureRecovery } from './measureRecovery.js'
import { measureRpc } from './measureRpc.js'
import { measureStarts } from './measureStarts.js'

import type { Site } from '@figmount/proof'
import type { BenchRow } from './types.js'

const COLD_MODELS = ['c1', 'c2', 'c3'] as const
/** Routers of the site on which log appends and recovery are measured; the site also has one agent. */
const ROUTERS = ['r1', 'r2'] as const
const READY_MS = 30_000

const startSite = async (name: string, routerNames: readonly string[], models: readonly string[]): Promise<Site> => {
  const site = await createSite({
    name, routers: routerNames.map(router => ({ name: router })), agents: [{ name: 'a1', services: [SERVICE], backendKeys: QUICK_ENGINE }]
  })
  try {
    await site.apply([callerItem('crew'), modelService(SERVICE, models.map(model => ({ name: model })))])
    await site.rig.waitUntil('every slot to be granted', () =>
      site.rig.events.all().filter(event => event.name === 'proposalMade').length >= models.length, READY_MS)
    return site
  } catch (error) {
    await site.close()
    throw error
  }
}

const withSite = async (starting: Promise<Site>, measure: (site: Site) => Promise<readonly BenchRow[]>): Promise<readonly BenchRow[]> => {
  const site = await starting
  try {
    return await measure(site)
  } finally {
    await site.close()
  }
}

const timers = createTimerService()

/** Prints the duration of a measurement to standard error, to show which one lengthens the run. */
const timed = async (name: string, measure: () => Promise<readonly BenchRow[]>): Promise<readonly BenchRow[]> => {
  const startedMs = timers.nowMs()
  const rows = await measure()
  process.stderr.write(`${name}: ${Math.round(timers.nowMs() - startedMs)} ms\n`)
  return rows
}

/** Measures the request path with one router and one agent. */
const measurePath = async (site: Site): Promise<readonly BenchRow[]> => {
  const calls = createCalls(site)
  // The first request loads the model, which must be resident for the engine's own RPC.
  await site.rig.waitUntil('the first answer', async () => await calls.stream(1)().then(() => true, () => false), READY_MS)
  const latency = await timed('latency', async () => await measureLatency(calls))
  const rpc = await timed('rpc', async () => await measureRpc(calls))
  const processor = await timed('processor', async () => await measureProcessor(site, calls))
  return [...latency, ...rpc, ...processor, ...await timed('starts', async () => await measureStarts(site))]
}

/** Measures log appends and recovery with two routers and one agent. */
const measureLogAndRecovery = async (site: Site): Promise<readonly BenchRow[]> => {
  const processCount = ROUTERS.length + 1
  const records = await timed('records', async () => await measureRecords(site, COLD_MODELS, processCount))
  return [...records, ...await timed('recovery', async () => await measureRecovery(site))]
}

/** Runs all measurements, one after another so that they do not disturb each other. */
export const measureAll = async (): Promise<readonly BenchRow[]> => {
  const path = await withSite(startSite('bench-path', ['r1'], [MODEL]), measurePath)
  const logAndRecovery = await withSite(startSite('bench-agreement', ROUTERS, [MODEL, ...COLD_MODELS]), measureLogAndRecovery)
  return [...path, ...logAndRecovery]
}
