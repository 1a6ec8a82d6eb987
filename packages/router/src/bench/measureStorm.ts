/**
 * Measures a burst of requests at a router that is already full: CPU time per refusal, and memory.
 * Callers and the agent run in a second process.
 * Run: `npx tsx packages/router/src/bench/measureStorm.ts`.
 */
import { fork } from 'node:child_process'
import { createClient } from '@connectrpc/connect'
import { createTimerService, createTransport } from '@figmount/base'
import { Inference } from '@figmount/schema'

import { serveFakeAgents } from './serveFakeAgents.js'
import { startBenchRouter } from './startBenchRouter.js'

interface BurstLoad {
  readonly router: string
  /** Number of requests that fill the router until the process ends. */
  readonly heldCount: number
  readonly requestCount: number
}

const HELD_COUNT = 50
const REQUEST_COUNT = 5_000
const ROUND_COUNT = 4
const CONCURRENCY = 100
const MICROSECONDS_PER_MS = 1000
const BYTES_PER_MB = 1024 * 1024

const timers = createTimerService()

const requestOf = (key: string) => ({
  requestKey: key, issuedAtMs: BigInt(Date.now()), deadlineMs: 600_000, repeatable: true, service: 'reader', model: 'model-0', prompt: 'wall'.repeat(250), maxTokens: 10
})

const runBurst = async ({ router, heldCount, requestCount }: BurstLoad): Promise<number> => {
  const client = createClient(Inference, createTransport({ address: router, bearerKey: 'crew-key' }))
  const hold = async (key: string): Promise<void> => {
    for await (const frame of client.infer(requestOf(key))) if (frame.body.case === 'refusal') return
  }
  for (let held = 0; held < heldCount; held += 1) hold(`held-${held}`).catch(() => {})
  let next = 0
  let refused = 0
  const sendOneByOne = async (): Promise<void> => {
    while (next < requestCount) {
      const key = `storm-${next++}`
      for await (const frame of client.infer(requestOf(key))) if (frame.body.case === 'refusal') refused += 1
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, sendOneByOne))
  return refused
}

const runChild = async (): Promise<void> => {
  const agents = await serveFakeAgents({ agentCount: 1, modelCount: 1, hasDeltaReports: true, busy: false, tokensPerFrame: 1, isHolding: true })
  process.on('message', message => {
    runBurst(message as BurstLoad).then(refused => process.send?.(refused)).catch((error: Error) => { process.stderr.write(`${error.message}\n`) })
  })
  process.send?.(agents.addresses[0])
}

const measure = async (): Promise<void> => {
  const child = fork(new URL(import.meta.url).pathname, ['callers'], { execArgv: ['--import', 'tsx'] })
  const agentAddress = await new Promise<string>(resolve => child.once('message', message => resolve(message as string)))
  const router = await startBenchRouter(agentAddress, `[limits]\nadmitted_count = ${HELD_COUNT}\n`)
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    const before = process.cpuUsage()
    const startedAtMs = timers.nowMs()
    const refused = await new Promise<number>(resolve => {
      child.once('message', message => resolve(message as number))
      child.send({ router: router.address, heldCount: round === 0 ? HELD_COUNT : 0, requestCount: REQUEST_COUNT })
    })
    const cpu = process.cpuUsage(before)
    const cpuMs = (cpu.user + cpu.system) / MICROSECONDS_PER_MS
    const memory = process.memoryUsage()
    process.stdout.write(`${refused} refused, ${(refused / (timers.nowMs() - startedAtMs) * 1000).toFixed(0)} per second, ${(cpuMs / refused).toFixed(3)} ms of CPU time each, heap ${(memory.heapUsed / BYTES_PER_MB).toFixed(0)} MB, resident ${(memory.rss / BYTES_PER_MB).toFixed(0)} MB\n`)
  }
  child.disconnect()
  child.kill()
}

if (process.argv.length > 2) await runChild()
else {
  await measure()
  process.exit(0)
}
