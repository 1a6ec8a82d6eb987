/** Runs an agent in virtual time with a fake log, a fake engine and fake routers. */
import { createEventLog, createMetrics, createVirtualTimers } from '@figmount/base'
import { accountNothing, admitUntilFull, allAhead, evictLeastRecent, keepFixedTime, limitNothing, orderByArrival, pickFirstCome, retryAfterFixed, shedNothing } from '@figmount/decisions'
import { createMessageQueue } from '@figmount/peers'
import { EitherAsync, Right } from 'purify-ts'

import { createAgent } from '../agent/createAgent.js'
import { agentSettings } from '../settings/agentSettings.js'
import { createFakeEngine } from './createFakeEngine.js'
import { createFakeLog } from './createFakeLog.js'

import type { AttemptId, CallerName, EventRecord, Incarnation, InstanceName, LogOffset, ModelId, RequestKey, ServiceName, VirtualTimers } from '@figmount/base'
import type { AgentToRouterMessage, Link, Permit, RefusalNote, RunRequest, RouterToAgentMessage } from '@figmount/peers'
import type { RightKey } from '@figmount/records'
import type { Agent } from '../agent/createAgent.js'
import type { AgentDecisions } from '../agent/types.js'
import type { Listing } from '../membership/watchInstances.js'
import type { FakeEngine } from './createFakeEngine.js'
import type { FakeLog } from './createFakeLog.js'

export const MODEL = 'reader/m' as ModelId
export const START_UNIX_MS = 1_700_000_000_000
const STEP_MS = 10

export const modelSpec = (name: string, more: object = {}): object => ({
  name, versions: ['v1', 'v2'], currentVersion: 'v1', minReplicas: 0, maxReplicas: 2, memoryMb: 400, checkpointMb: 100, ...more
})

/** The router's end of a link. */
export interface FakeRouter {
  readonly send: (message: RouterToAgentMessage) => void
  readonly received: readonly AgentToRouterMessage[]
  readonly cut: () => void
  readonly tokensOf: (id: string) => readonly string[]
  readonly finalOf: (id: string) => Extract<AgentToRouterMessage, { type: 'final' }> | undefined
  readonly refusalOf: (id: string) => RefusalNote | undefined
  readonly start: (id: string, request?: Partial<RunRequest>, permit?: Permit) => void
}

export interface AgentUnderTest {
  readonly timers: VirtualTimers
  readonly engine: FakeEngine
  readonly log: FakeLog
  readonly agent: Agent
  readonly incarnation: Incarnation
  readonly advance: (durationMs: number) => Promise<void>
  readonly connect: () => FakeRouter
  readonly grant: (right: RightKey) => LogOffset
  readonly events: (name: string) => readonly EventRecord[]
  listing: Listing
  /** Starts another run of the agent beside the same engine, as after a crash. */
  readonly restartAgent: () => Promise<AgentUnderTest>
}

interface Options {
  readonly models?: readonly object[]
  readonly decisions?: Partial<AgentDecisions>
  readonly limits?: object
}

const flush = async (): Promise<void> => {
  for (let turn = 0; turn < 4; turn += 1) await new Promise(resolve => setImmediate(resolve))
}

export const aRequest = (unixMs: number, more: Partial<RunRequest> = {}): RunRequest => ({
  caller: 'inspector' as CallerName, tenant: 'default', requestKey: 'k1' as RequestKey, issuedAtMs: unixMs, resendCount: 0, repeatable: true, model: MODEL, service: 'reader' as ServiceName, adapter: '', version: '', prefixHint: '', prompt: 'wall', maxTokens: 3, priority: 0, share: 1, remainingMs: 30_000, fingerprint: more.prompt ?? 'wall', suspect: false, doneTokens: [], ...more
})

const connectTo = (agent: Agent, timers: VirtualTimers, peer: string): FakeRouter => {
  const inbox = createMessageQueue<RouterToAgentMessage>()
  const received: AgentToRouterMessage[] = []
  let isOpen = true
  const cut = (): void => {
    isOpen = false
    inbox.end()
  }
  const link: Link<AgentToRouterMessage, RouterToAgentMessage> = {
    peer, send: message => { if (isOpen) received.push(message) }, sendPacked: ({ body }) => { if (isOpen) received.push(body) }, received: inbox.values, close: cut, isOpen: () => isOpen, bufferedBytes: () => 0, lastReceivedMs: timers.nowMs
  }
  agent.runLink(link).catch(error => { throw error })
  return {
    send: inbox.push,
    received,
    cut,
    tokensOf: id => received.flatMap(message => message.type === 'tokens' && message.attemptId === id ? message.tokens : []),
    finalOf: id => received.find((message): message is Extract<AgentToRouterMessage, { type: 'final' }> => message.type === 'final' && message.attemptId === id),
    refusalOf: id => received.find((message): message is Extract<AgentToRouterMessage, { type: 'refused' }> => message.type === 'refused' && message.attemptId === id)?.refusal,
    start: (id, request = {}, permit) => inbox.push({ type: 'start', attemptId: id as AttemptId, request: aRequest(timers.unixMs(), request), ...(permit ? { permit } : {}) })
  }
}

/** Starts an agent for the service `reader` and waits until it has announced itself. */
export const startAgentForTest = async (options: Options = {}): Promise<AgentUnderTest> => {
  const timers = createVirtualTimers(START_UNIX_MS)
  const engine = createFakeEngine(timers)
  const log = createFakeLog(timers)
  const models = options.models ?? [modelSpec('m')]
  log.write({ kind: 'config.set', item: 'service/reader', expectedVersion: 0, bodyJson: JSON.stringify({ kind: 'models', models }), operatorName: 'op' })
  let runCount = 0
  let routerCount = 0

  const advance = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await flush()
      timers.advance(STEP_MS)
    }
    await flush()
  }

  const run = async (): Promise<AgentUnderTest> => {
    const instance = 'agent-1' as InstanceName
    const incarnation = `inc-${runCount++}` as Incarnation
    const events = createEventLog({ instance, role: 'agent', timers })
    const settings = agentSettings.parse({
      process: { instance, data_centre: 'aa-1', host: '127.0.0.1', port: '0' },
      platform: { log: '127.0.0.1:1', instance_list: '127.0.0.1:2' },
      trust: { shared_key: 'k' },
      backend: { kind: 'engine', address: '127.0.0.1:3', services: 'reader' },
      limits: options.limits ?? {}
    })
    const decisions: AgentDecisions = {
      admit: admitUntilFull, pickNext: pickFirstCome, accountServed: accountNothing, estimateAhead: allAhead, limitLong: limitNothing, shedWaiting: shedNothing, chooseRetryAfter: retryAfterFixed, keepAlive: keepFixedTime(), chooseVictims: evictLeastRecent, orderLoads: orderByArrival, backOffLoad: view => 500 * 2 ** view.refusedCount, random: () => 0.5, ...options.decisions
    }
    const under = { listing: { listed: 'present', leaving: false } as Listing }
    const agent = createAgent({
      context: { settings, events, timers, metrics: createMetrics(), records: log.clientOf(instance, incarnation), decisions, instance, incarnation },
      engine,
      readListing: () => EitherAsync.liftEither(Right(under.listing))
    })
    await advance(300)
    return Object.assign(under, {
      timers,
      engine,
      log,
      agent,
      incarnation,
      advance,
      connect: () => connectTo(agent, timers, `router-${routerCount++}`),
      grant: (right: RightKey) => {
        const offset = log.state().nextOffset
        const known = [...log.state().rights.values()].find(state => state.key.kind === right.kind && state.key.target === right.target)
        log.write({ kind: 'right.grant', right, instance, incarnation, expectedFence: known?.fence ?? 0 })
        return offset
      },
      events: (name: string) => events.recent().filter(event => event.name === name),
      restartAgent: run
    })
  }
  return await run()
}
