import { createTimerService, sleep } from '@figmount/base'
import { sendUntilEnded, callerItem } from '@figmount/proof'

import { MODEL, SERVICE } from './constants.js'

import type { Site } from '@figmount/proof'
import type { BenchRow } from './types.js'

const ONCE_COUNT = 20
const CHANGE_COUNT = 5
const IDLE_MS = 2000
const MS_PER_SECOND = 1000

const timers = createTimerService()

const readAppendCount = async (site: Site): Promise<number> => Number((await site.log.dump()).appendCount)

const countAppends = async (site: Site, run: () => Promise<void>): Promise<number> => {
  const before = await readAppendCount(site)
  await run()
  return await readAppendCount(site) - before
}

const sendRequest = async (site: Site, model: string, prompt: string, repeatable: boolean): Promise<void> => {
  const { last } = await sendUntilEnded(site.routerAddresses, { service: SERVICE, model, prompt, repeatable, maxTokens: 1 })
  if (last.kind !== 'answered') throw new Error(`request "${prompt}" ended as ${last.kind}, expected an answer`)
}

const applyChange = async (site: Site, index: number, processCount: number): Promise<number> => {
  const change = callerItem(`caller-${index}`)
  const startedMs = timers.unixMs()
  await site.apply([change])
  const inForceEvents = () => site.rig.events.all().filter(event => event.name === 'configInForce' && event.item === change.name)
  await site.rig.waitUntil(`${change.name} to be in force`, () => new Set(inForceEvents().map(event => event.instance)).size >= processCount)
  return Math.max(...inForceEvents().map(event => event.atUnixMs)) - startedMs
}

/** Measures the time until a change is in force everywhere, and the log appends per cause. */
export const measureRecords = async (site: Site, coldModels: readonly string[], processCount: number): Promise<readonly BenchRow[]> => {
  await sendRequest(site, MODEL, 'warm', true)
  const idleAppends = await countAppends(site, async () => { await sleep(timers, IDLE_MS) })
  const coldStartAppends = await countAppends(site, async () => {
    for (const model of coldModels) await sendRequest(site, model, `cold ${model}`, true)
  })
  const onceAppends = await countAppends(site, async () => {
    for (let index = 0; index < ONCE_COUNT; index += 1) await sendRequest(site, MODEL, `once ${index}`, false)
  })
  const durationsMs: number[] = []
  const changeAppends = await countAppends(site, async () => {
    for (let index = 0; index < CHANGE_COUNT; index += 1) durationsMs.push(await applyChange(site, index, processCount))
  })
  return [
    { name: 'config.inForce', value: Math.max(...durationsMs), unit: 'ms', method: `operator's call to the last of ${processCount} processes, slowest of ${CHANGE_COUNT} changes` },
    { name: 'appends.idle', value: idleAppends * MS_PER_SECOND / IDLE_MS, unit: 'appends/s', method: `no requests for ${IDLE_MS} ms` },
    { name: 'appends.coldStart', value: coldStartAppends / coldModels.length, unit: 'appends', method: `mean of ${coldModels.length} models loaded for their first request` },
    { name: 'appends.onceRequest', value: onceAppends / ONCE_COUNT, unit: 'appends', method: `mean of ${ONCE_COUNT} requests that may not be repeated` },
    { name: 'appends.change', value: changeAppends / CHANGE_COUNT, unit: 'appends', method: `mean of ${CHANGE_COUNT} new items` }
  ]
}
