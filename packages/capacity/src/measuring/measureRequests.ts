import { createTimerService } from '@figmount/base'
import { sendUntilEnded, callerItem, createSite, modelService } from '@figmount/proof'

import { processorUsOf } from './readProcess.js'

import type { Site } from '@figmount/proof'
import type { Measurement, Point } from '../slopes/types.js'

const TOKEN_COUNTS = [1, 40, 80, 160] as const
const REQUEST_COUNT = 400
const CONCURRENCY = 16

const timers = createTimerService()

interface Costs {
  readonly routerUs: number
  readonly agentUs: number
}

const sendAll = async (site: Site, name: string, count: number, maxTokens: number): Promise<void> => {
  let next = 0
  const sendOneByOne = async (): Promise<void> => {
    while (next < count) {
      const outcome = await sendUntilEnded(site.routerAddresses, { service: 's', model: 'm', prompt: `${name} ${next++}`, maxTokens })
      if (outcome.last.kind !== 'answered') throw new Error(`a measured request ended as ${outcome.last.kind}, expected an answer`)
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, sendOneByOne))
}

const measureCosts = async (site: Site, maxTokens: number): Promise<Costs> => {
  const router = site.router('r1').pid()
  const agent = site.agent('a1').pid()
  const before = { router: processorUsOf(router), agent: processorUsOf(agent) }
  await sendAll(site, `${timers.nowMs()}`, REQUEST_COUNT, maxTokens)
  return {
    routerUs: (processorUsOf(router) - before.router) / REQUEST_COUNT,
    agentUs: (processorUsOf(agent) - before.agent) / REQUEST_COUNT
  }
}

const METHOD = `real processes, one router, one agent, ${REQUEST_COUNT} requests, ${CONCURRENCY} at a time, engine with 10 ms between tokens`

/** Measures the processor time of a request by its number of tokens: the slope is the cost per token, the intercept the cost per request. */
export const measureRequests = async (): Promise<readonly Measurement[]> => {
  const site = await createSite({
    name: 'capacity-requests', routers: [{ name: 'r1' }], agents: [{ name: 'a1', services: ['s'], backendKeys: { batch_size: CONCURRENCY } }]
  })
  try {
    await site.apply([callerItem('crew'), modelService('s', [{ name: 'm' }])])
    await sendAll(site, 'warm', REQUEST_COUNT / 4, 1)
    const costs: Array<readonly [size: number, Costs]> = []
    for (const tokenCount of TOKEN_COUNTS) costs.push([tokenCount, await measureCosts(site, tokenCount)])
    const points = (read: (cost: Costs) => number): readonly Point[] => costs.map(([size, cost]) => ({ size, value: read(cost) }))
    return [
      { name: 'router.request', unit: 'us', per: 'tokens', method: METHOD, points: points(cost => cost.routerUs) },
      { name: 'agent.request', unit: 'us', per: 'tokens', method: METHOD, points: points(cost => cost.agentUs) }
    ]
  } finally {
    await site.close()
  }
}
