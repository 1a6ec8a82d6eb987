/**
 * Measures the cost of a router's request path: its CPU time per request and per token through the
 * callers' RPC, for several frame sizes. Agents and callers run in a second process.
 * Run: `npx tsx packages/router/src/bench/measurePath.ts`.
 */
import { fork } from 'node:child_process'
import { createClient } from '@connectrpc/connect'
import { createTimerService, createTransport } from '@figmount/base'
import { Inference } from '@figmount/schema'

import { serveFakeAgents } from './serveFakeAgents.js'
import { startBenchRouter } from './startBenchRouter.js'

import type { ChildProcess } from 'node:child_process'
import type { FakeAgentPlan } from './serveFakeAgents.js'

interface Load {
  readonly router: string
  readonly requestCount: number
  readonly tokenCount: number
  readonly concurrency: number
}

const REQUEST_COUNT = 1_000
const CONCURRENCY = 16
const MICROSECONDS_PER_MS = 1000

const timers = createTimerService()

const sendAll = async ({ router, requestCount, tokenCount, concurrency }: Load): Promise<number> => {
  const client = createClient(Inference, createTransport({ address: router, bearerKey: 'crew-key' }))
  let next = 0
  let answered = 0
  const sendOneByOne = async (): Promise<void> => {
    while (next < requestCount) {
      const number = next++
      const request = {
        requestKey: `${process.pid}-${tokenCount}-${number}`, issuedAtMs: BigInt(Date.now()), deadlineMs: 30_000, repeatable: true, service: 'reader', model: 'model-0', prompt: 'wall', maxTokens: tokenCount
      }
      for await (const frame of client.infer(request)) if (frame.body.case === 'final') answered += 1
    }
  }
  await Promise.all(Array.from({ length: concurrency }, sendOneByOne))
  return answered
}

const runChild = async (plan: FakeAgentPlan): Promise<void> => {
  const agents = await serveFakeAgents(plan)
  process.on('message', message => {
    sendAll(message as Load).then(answered => process.send?.(answered)).catch((error: Error) => { process.stderr.write(`${error.message}\n`) })
  })
  process.send?.(agents.addresses)
}

const nextMessage = async <T>(child: ChildProcess): Promise<T> => await new Promise(resolve => child.once('message', message => resolve(message as T)))

interface Cost {
  readonly cpuMs: number
  readonly wallMs: number
}

const costOf = async (work: () => Promise<void>): Promise<Cost> => {
  const before = process.cpuUsage()
  const startedAtMs = timers.nowMs()
  await work()
  const cpu = process.cpuUsage(before)
  return { cpuMs: (cpu.user + cpu.system) / MICROSECONDS_PER_MS, wallMs: timers.nowMs() - startedAtMs }
}

const measure = async (tokenCount: number, tokensPerFrame: number): Promise<void> => {
  const plan: FakeAgentPlan = { agentCount: 1, modelCount: 1, hasDeltaReports: true, busy: false, tokensPerFrame }
  const child = fork(new URL(import.meta.url).pathname, [JSON.stringify(plan)], { execArgv: ['--import', 'tsx'] })
  const [agentAddress = ''] = await nextMessage<readonly string[]>(child)
  const router = await startBenchRouter(agentAddress)
  const run = async (requestCount: number): Promise<void> => {
    const load: Load = { router: router.address, requestCount, tokenCount, concurrency: CONCURRENCY }
    const answer = nextMessage<number>(child)
    child.send(load)
    const answered = await answer
    if (answered !== requestCount) process.stdout.write(`only ${answered} of ${requestCount} requests were answered\n`)
  }
  await run(REQUEST_COUNT / 4)
  const cost = await costOf(async () => await run(REQUEST_COUNT))
  const perRequestMs = cost.cpuMs / REQUEST_COUNT
  process.stdout.write(`${String(tokenCount).padStart(5)} tokens, ${String(tokensPerFrame).padStart(3)} per frame: ${perRequestMs.toFixed(3).padStart(8)} ms of CPU time per request, ${(perRequestMs * MICROSECONDS_PER_MS / tokenCount).toFixed(1).padStart(7)} us per token, ${(REQUEST_COUNT / cost.wallMs * 1000).toFixed(0).padStart(5)} requests per second\n`)
  child.disconnect()
  child.kill()
  await router.stop()
}

const [planText] = process.argv.slice(2)
if (planText) await runChild(JSON.parse(planText) as FakeAgentPlan)
else {
  for (const [tokenCount, tokensPerFrame] of [[1, 1], [100, 1], [100, 4], [100, 16], [100, 100]] as const) await measure(tokenCount, tokensPerFrame)
  process.exit(0)
}
