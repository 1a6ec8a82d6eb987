import { fork } from 'node:child_process'
import { createTimerService } from '@figmount/base'

import { openBenchLinks } from '../../../router/src/bench/openBenchLinks.js'
import { serveFakeAgents } from '../../../router/src/bench/serveFakeAgents.js'
import { sleepAwake } from './sleepAwake.js'

import type { ChildProcess } from 'node:child_process'
import type { FakeAgentPlan } from '../../../router/src/bench/serveFakeAgents.js'
import type { Measurement, Point } from '../slopes/types.js'

/** Up to the bound of idle links. */
const LINK_COUNTS = [6, 12, 18, 24, 30] as const
const MODEL_COUNT = 20
const SETTLE_MS = 2_000
const MEASURE_MS = 8_000
const MS_PER_SECOND = 1000

interface LinkCosts {
  readonly bytesPerSecond: number
  readonly processorUsPerSecond: number
}

const timers = createTimerService()

/** Serves light agents for `measureLinks` in a process of its own; tells its bytes whenever asked. */
export const serveForParent = async (plan: FakeAgentPlan): Promise<void> => {
  const agents = await serveFakeAgents(plan)
  process.send?.(agents.addresses)
  process.on('message', () => { process.send?.(agents.wireBytes()) })
}

const answerOf = async <T>(child: ChildProcess): Promise<T> => await new Promise(resolve => {
  child.once('message', message => resolve(message as T))
})

const measureAt = async (agentCount: number, busy: boolean): Promise<LinkCosts> => {
  const plan: FakeAgentPlan = { agentCount, modelCount: MODEL_COUNT, thin: true, busy, tokensPerFrame: 1 }
  const child = fork(new URL('./runFakeAgents.ts', import.meta.url).pathname, [JSON.stringify(plan)], { execArgv: ['--import', 'tsx'] })
  const addresses = await answerOf<readonly string[]>(child)
  const links = await openBenchLinks(addresses)
  await sleepAwake(timers, SETTLE_MS)
  child.send('bytes')
  const bytesBefore = await answerOf<number>(child)
  const cpuBefore = process.cpuUsage()
  await sleepAwake(timers, MEASURE_MS)
  const cpu = process.cpuUsage(cpuBefore)
  child.send('bytes')
  const bytes = await answerOf<number>(child) - bytesBefore
  links.stop()
  child.disconnect()
  child.kill()
  const seconds = MEASURE_MS / MS_PER_SECOND
  return { bytesPerSecond: bytes / seconds, processorUsPerSecond: (cpu.user + cpu.system) / seconds }
}

const METHOD = `a router's links in one process, light agents with ${MODEL_COUNT} models in another, 8 s, without TCP/IP headers`

/** The first run of a process pays for compiling; it is measured and left out. */
const warmUp = async (): Promise<void> => { await measureAt(LINK_COUNTS[0], true) }

const measureKind = async (name: string, busy: boolean): Promise<readonly Measurement[]> => {
  const costs: Array<readonly [size: number, LinkCosts]> = []
  for (const count of LINK_COUNTS) costs.push([count, await measureAt(count, busy)])
  const points = (read: (cost: LinkCosts) => number): readonly Point[] => costs.map(([size, cost]) => ({ size, value: read(cost) }))
  const kind = busy ? 'one model changes with each report' : 'nothing changes'
  return [
    { name: `router.link.${name}.bytes`, unit: 'bytes/s', per: 'links', method: `${METHOD}; ${kind}`, points: points(cost => cost.bytesPerSecond) },
    { name: `router.link.${name}.processor`, unit: 'us/s', per: 'links', method: `${METHOD}; ${kind}`, points: points(cost => cost.processorUsPerSecond) }
  ]
}

/** What open links to agents cost a router, idle and busy, against their number. */
export const measureLinks = async (): Promise<readonly Measurement[]> => {
  await warmUp()
  return [...await measureKind('idle', false), ...await measureKind('busy', true)]
}
