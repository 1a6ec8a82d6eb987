import { createTimerService } from '@figmount/base'
import { callerItem, createSite, modelService } from '@figmount/proof'

import { processorUsOf, residentMbOf } from './readProcess.js'
import { sleepKeepingAlive } from './sleepKeepingAlive.js'

import type { Site } from '@figmount/proof'
import type { Measurement, Point } from '../slopes/types.js'

const MODEL_COUNTS = [50, 200, 400, 800] as const
const ADAPTERS_PER_MODEL = 24
const MODELS_PER_SERVICE = 50
const IDLE_MS = 10_000
const SETTLE_MS = 3_000
const MS_PER_SECOND = 1000
const GRANT_TIMEOUT_MS = 60_000

interface SiteCosts {
  readonly routerMb: number
  readonly agentMb: number
  /** Processor time in µs per second without requests. */
  readonly routerIdleUs: number
  readonly agentIdleUs: number
}

/** Default of the agent's setting; the rig sets a far shorter poll period, which would raise the idle cost. */
const DEFAULT_LIST_POLL_MS = 5_000

const timers = createTimerService()

const configure = async (site: Site, modelCount: number): Promise<void> => {
  const adapters = Array.from({ length: ADAPTERS_PER_MODEL }, (_, index) => ({ name: `a${index}`, memoryMb: 10 }))
  const services = Array.from({ length: Math.ceil(modelCount / MODELS_PER_SERVICE) }, (_, service) => modelService(`s${service}`,
    Array.from({ length: Math.min(MODELS_PER_SERVICE, modelCount) }, (_, index) => ({ name: `m${index}`, maxReplicas: 2, adapters }))))
  await site.apply([callerItem('crew'), ...services])
}

const rightCount = (modelCount: number): number => modelCount * 3

const measureSite = async (modelCount: number): Promise<SiteCosts> => {
  const services = Array.from({ length: Math.ceil(modelCount / MODELS_PER_SERVICE) }, (_, index) => `s${index}`)
  const site = await createSite({ name: `capacity-${modelCount}`, routers: [{ name: 'r1' }], agents: ['a1', 'a2'].map(name => ({ name, services, sections: { tuning: { list_ms: DEFAULT_LIST_POLL_MS } } })) })
  try {
    await configure(site, modelCount)
    await site.rig.waitUntil('every right to be granted', () =>
      site.rig.events.all().filter(event => event.name === 'proposalMade' && event.step === 'right.grant').length >= rightCount(modelCount), GRANT_TIMEOUT_MS)
    await sleepKeepingAlive(timers, SETTLE_MS)
    const router = site.router('r1').pid()
    const agent = site.agent('a1').pid()
    const before = { router: processorUsOf(router), agent: processorUsOf(agent) }
    await sleepKeepingAlive(timers, IDLE_MS)
    const seconds = IDLE_MS / MS_PER_SECOND
    return {
      routerMb: residentMbOf(router),
      agentMb: residentMbOf(agent),
      routerIdleUs: (processorUsOf(router) - before.router) / seconds,
      agentIdleUs: (processorUsOf(agent) - before.agent) / seconds
    }
  } finally {
    await site.close()
  }
}

const METHOD = `real processes, one router and two agents, models with 2 slots, a keys right and ${ADAPTERS_PER_MODEL} adapters each`

/** Measures memory and idle processor time of real processes by number of rights. */
export const measureSites = async (): Promise<readonly Measurement[]> => {
  const figures: Array<readonly [size: number, SiteCosts]> = []
  for (const modelCount of MODEL_COUNTS) figures.push([rightCount(modelCount), await measureSite(modelCount)])
  const points = (read: (site: SiteCosts) => number): readonly Point[] => figures.map(([size, site]) => ({ size, value: read(site) }))
  return [
    { name: 'router.memory', unit: 'MB', per: 'rights', method: `resident memory; ${METHOD}`, points: points(site => site.routerMb) },
    { name: 'agent.memory', unit: 'MB', per: 'rights', method: `resident memory; ${METHOD}`, points: points(site => site.agentMb) },
    { name: 'router.idle', unit: 'us/s', per: 'rights', method: `processor time over 10 s without requests; ${METHOD}`, points: points(site => site.routerIdleUs) },
    { name: 'agent.idle', unit: 'us/s', per: 'rights', method: `processor time over 10 s without requests; ${METHOD}`, points: points(site => site.agentIdleUs) }
  ]
}
