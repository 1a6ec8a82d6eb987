import { randomUUID } from 'node:crypto'
import { createTimerService } from '@figmount/base'
import { callerItem, createSite, OPERATOR_KEY, operatorAt } from '@figmount/proof'

import type { Site } from '@figmount/proof'
import type { Measurement, Point } from '../slopes/types.js'

const AGENT_COUNTS = [1, 3, 7, 15] as const
const CHANGE_COUNT = 20
const IN_FORCE_TIMEOUT_MS = 10_000

const timers = createTimerService()

const inForceCount = (site: Site, item: string): number =>
  new Set(site.rig.events.all().filter(event => event.name === 'configInForce' && event.item === item).map(event => event.instance)).size

const timeChange = async (site: Site, index: number, processCount: number): Promise<number> => {
  const { name, body } = callerItem(`caller-${index}`)
  const operator = operatorAt(site.routerAddresses()[0] ?? '', OPERATOR_KEY)
  const startedMs = timers.unixMs()
  await operator.apply({ items: [{ name, bodyJson: JSON.stringify(body), expectedVersion: 0n }], changeId: randomUUID() })
  await site.rig.waitUntil(`${name} to be in force everywhere`, () => inForceCount(site, name) >= processCount, IN_FORCE_TIMEOUT_MS)
  const inForceAtMs = site.rig.events.all().filter(event => event.name === 'configInForce' && event.item === name).map(event => event.atUnixMs)
  return Math.max(...inForceAtMs) - startedMs
}

const measureAt = async (agentCount: number): Promise<number> => {
  const agents = Array.from({ length: agentCount }, (_, index) => ({ name: `a${index}`, services: ['s'] }))
  const site = await createSite({ name: `capacity-force-${agentCount}`, routers: [{ name: 'r1' }], agents })
  try {
    await site.apply([callerItem('crew')])
    const durationsMs: number[] = []
    for (let index = 0; index < CHANGE_COUNT; index += 1) durationsMs.push(await timeChange(site, index, agentCount + 1))
    return Math.max(...durationsMs)
  } finally {
    await site.close()
  }
}

/** Measures the time until a change is in force in every process, by number of processes; the slowest of several changes counts. */
export const measureInForce = async (): Promise<readonly Measurement[]> => {
  const points: Point[] = []
  for (const agentCount of AGENT_COUNTS) points.push({ size: agentCount + 1, value: await measureAt(agentCount) })
  return [{
    name: 'config.inForce',
    unit: 'ms',
    per: 'processes',
    method: `real processes, from the operator's call to the last process's event, slowest of ${CHANGE_COUNT} changes`,
    points
  }]
}
