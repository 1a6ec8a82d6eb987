import { fork } from 'node:child_process'
import { createTimerService } from '@figmount/base'

import { openBenchLinks } from '../../../router/src/bench/openBenchLinks.js'
import { serveFakeAgents } from '../../../router/src/bench/serveFakeAgents.js'
import { sleepKeepingAlive } from './sleepKeepingAlive.js'

import type { ChildProcess } from 'node:child_process'
import type { FakeAgentPlan } from '../../../router/src/bench/serveFakeAgents.js'
import type { Measurement, Point } from '../slopes/types.js'

/** Up to 30, the limit of idle links. */
const LINK_COUNTS = [6, 12, 18, 24, 30] as const
const MODEL_COUNT = 20
const SETTLE_MS = 2_000
const WINDOW_MS = 3_000
/** Of three windows, the one with the least processor time is used: compilation and garbage collection come in bursts not caused by links. */
const WINDOW_COUNT = 3
const MS_PER_SECOND = 1000

interface LinkCosts {
  readonly bytesPerSecond: number
  readonly processorUsPerSecond: number
}

const timers = createTimerService()

/** Serves lightweight fake agents in a child process; replies to each message of the parent with the bytes on all links so far. */
export const serveAgentsForParent = async (plan: FakeAgentPlan): Promise<void> => {
  const agents = await serveFakeAgents(plan)
  process.send?.(agents.addresses)
  process.on('message', () => { process.send?.(agents.wireBytes()) })
}

const nextMessage = async <T>(child: ChildProcess): Promise<T> => await new Promise(resolve => {
  child.once('message', message => resolve(message as T))
})

const measureWindow = async (child: ChildProcess): Promise<LinkCosts> => {
  child.send('bytes')
  const bytesBefore = await nextMessage<number>(child)
  const cpuBefore = process.cpuUsage()
  await sleepKeepingAlive(timers, WINDOW_MS)
  const cpu = process.cpuUsage(cpuBefore)
  child.send('bytes')
  const bytes = await nextMessage<number>(child) - bytesBefore
  const seconds = WINDOW_MS / MS_PER_SECOND
  return { bytesPerSecond: bytes / seconds, processorUsPerSecond: (cpu.user + cpu.system) / seconds }
}

const measureAt = async (agentCount: number, isBusy: boolean): Promise<LinkCosts> => {
  const plan: FakeAgentPlan = { agentCount, modelCount: MODEL_COUNT, hasDeltaReports: true, busy: isBusy, tokensPerFrame: 1 }
  const child = fork(new URL('./runFakeAgents.ts', import.meta.url).pathname, [JSON.stringify(plan)], { execArgv: ['--import', 'tsx'] })
  const addresses = await nextMessage<readonly string[]>(child)
  const links = await openBenchLinks(addresses)
  await sleepKeepingAlive(timers, SETTLE_MS)
  const windows: LinkCosts[] = []
  for (let index = 0; index < WINDOW_COUNT; index += 1) windows.push(await measureWindow(child))
  links.stop()
  child.disconnect()
  child.kill()
  return windows.reduce((best, window) => window.processorUsPerSecond < best.processorUsPerSecond ? window : best)
}

const METHOD = `a router's links in one process, light agents with ${MODEL_COUNT} models in another, the cheapest of 3 windows of 3 s, without TCP/IP headers`

/** The first run in a process includes compilation, so its result is discarded. */
const warmUp = async (): Promise<void> => { await measureAt(LINK_COUNTS[0], true) }

const measureKind = async (name: string, isBusy: boolean): Promise<readonly Measurement[]> => {
  const costs: Array<readonly [size: number, LinkCosts]> = []
  for (const count of LINK_COUNTS) costs.push([count, await measureAt(count, isBusy)])
  const points = (read: (cost: LinkCosts) => number): readonly Point[] => costs.map(([size, cost]) => ({ size, value: read(cost) }))
  const kind = isBusy ? 'one model changes with each report' : 'nothing changes'
  return [
    { name: `router.link.${name}.bytes`, unit: 'bytes/s', per: 'links', method: `${METHOD}; ${kind}`, points: points(cost => cost.bytesPerSecond) },
    { name: `router.link.${name}.processor`, unit: 'us/s', per: 'links', method: `${METHOD}; ${kind}`, points: points(cost => cost.processorUsPerSecond) }
  ]
}

/** Measures the bytes and processor time that idle and busy links to agents cost a router, by number of links. */
export const measureLinks = async (): Promise<readonly Measurement[]> => {
  await warmUp()
  return [...await measureKind('idle', false), ...await measureKind('busy', true)]
}
