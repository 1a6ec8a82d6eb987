/**
 * Measures the cost of links to agents for a router: bytes on the wire and CPU time of the router, per
 * link and second. Agents run in a second process, so that the CPU time is the router's alone.
 * Run: `npx tsx packages/router/src/bench/measureLinks.ts`.
 */
import { fork } from 'node:child_process'
import { createTimerService, sleep } from '@figmount/base'

import { openBenchLinks } from './openBenchLinks.js'
import { serveFakeAgents } from './serveFakeAgents.js'

import type { ChildProcess } from 'node:child_process'
import type { FakeAgentPlan } from './serveFakeAgents.js'

const AGENT_COUNT = 30
const MODEL_COUNT = 20
const SETTLE_MS = 2_000
const MEASURE_MS = 10_000
const MICROSECONDS_PER_MS = 1000

const timers = createTimerService()

const runChild = async (plan: FakeAgentPlan): Promise<void> => {
  const agents = await serveFakeAgents(plan)
  process.send?.(agents.addresses)
  process.on('message', () => { process.send?.(agents.wireBytes()) })
  // The project's timers do not keep a process alive; the channel to the parent process does.
}

const requestByteCount = async <T>(child: ChildProcess): Promise<T> => await new Promise(resolve => {
  child.once('message', message => resolve(message as T))
  child.send('bytes')
})

const measure = async (name: string, hasDeltaReports: boolean, busy: boolean): Promise<void> => {
  const plan: FakeAgentPlan = { agentCount: AGENT_COUNT, modelCount: MODEL_COUNT, hasDeltaReports, busy, tokensPerFrame: 1 }
  const child = fork(new URL(import.meta.url).pathname, [JSON.stringify(plan)], { execArgv: ['--import', 'tsx'] })
  const addresses = await new Promise<readonly string[]>(resolve => child.once('message', message => resolve(message as string[])))
  const links = await openBenchLinks(addresses)
  await sleepAwake(SETTLE_MS)
  const bytesBefore = await requestByteCount<number>(child)
  const cpuBefore = process.cpuUsage()
  const startedAtMs = timers.nowMs()
  await sleepAwake(MEASURE_MS)
  const seconds = (timers.nowMs() - startedAtMs) / 1000
  const cpu = process.cpuUsage(cpuBefore)
  const bytes = await requestByteCount<number>(child) - bytesBefore
  const perLink = AGENT_COUNT * seconds
  const cpuMs = (cpu.user + cpu.system) / MICROSECONDS_PER_MS
  process.stdout.write(`${name.padEnd(28)} ${(bytes / perLink).toFixed(0).padStart(7)} B  ${(cpuMs / perLink).toFixed(3).padStart(7)} ms of CPU time per link and second\n`)
  links.stop()
  child.disconnect()
  child.kill()
}

// The project's timers do not keep a process alive by themselves.
const sleepAwake = async (durationMs: number): Promise<void> => {
  const awake = setInterval(() => {}, durationMs)
  await sleep(timers, durationMs)
  clearInterval(awake)
}

const [planText] = process.argv.slice(2)
if (planText) await runChild(JSON.parse(planText) as FakeAgentPlan)
else {
  process.stdout.write(`${AGENT_COUNT} links, reports of ${MODEL_COUNT} models, ${MEASURE_MS / 1000} s each\n`)
  await measure('whole reports, idle', false, false)
  await measure('whole reports, busy', false, true)
  await measure('changed parts only, idle', true, false)
  await measure('changed parts only, busy', true, true)
}
