import { createEventLog, createMetrics, createVirtualTimers, makeAttemptId, sleep } from '@figmount/base'
import { chooseFirstReady, retryAfterFixed } from '@figmount/decisions'

import { createAgentLinks } from '../links/createAgentLinks.js'
import { createCallerShares } from '../retries/createCallerShares.js'
import { createRefusalLog } from '../retries/createRefusalLog.js'
import { createRetryBudgets } from '../retries/createRetryBudgets.js'
import { createEstimates } from '../routing/createEstimates.js'
import { createPrefixMap } from '../routing/createPrefixMap.js'
import { createSendLog } from '../routing/createSendLog.js'
import { createSuspects } from '../suspects/createSuspects.js'
import { createFakeAgent } from './createFakeAgent.js'
import { createFakeRecords } from './createFakeRecords.js'

import type { CallerName, DataCentre, Incarnation, InstanceName, ModelId, RequestKey, ServiceName } from '@figmount/base'
import type { AnswerPart } from '../answers/types.js'
import type { ListedInstance } from '../membership/types.js'
import type { AdmittedRequest, ServeContext } from '../requests/types.js'
import type { AgentBehaviour, FakeAgent } from './createFakeAgent.js'

/** Step of virtual time, and the maximum number of steps. */
const STEP_MS = 10
const MAX_STEPS = 20_000

const ROUTER = 'r1' as InstanceName
const INCARNATION = '1' as Incarnation
export const MODEL = 'reader/m' as ModelId
const SERVICE_BODY = {
  kind: 'models',
  models: [{ name: 'm', versions: ['v1'], currentVersion: 'v1', minReplicas: 0, maxReplicas: 2, memoryMb: 10, checkpointMb: 10 }]
}

/** Creates the parts of a router that serve requests, with in-memory agents and virtual time. */
export const createTestBench = (behaviourByAgent: Readonly<Record<string, AgentBehaviour>>) => {
  const timers = createVirtualTimers(1_000_000)
  const records = createFakeRecords()
  const events = createEventLog({ instance: ROUTER, role: 'router', timers })
  const agents = new Map<string, FakeAgent>(Object.entries(behaviourByAgent).map(([name, behave]) => [name, createFakeAgent(name, timers, behave)]))
  const names = [...agents.keys()] as InstanceName[]
  const listed = names.map((name): [InstanceName, ListedInstance] =>
    [name, { name, role: 'agent', dataCentre: 'dc' as DataCentre, peerAddress: '', backendAddress: '', leaving: false }])
  const agentOf = (name: string): FakeAgent => {
    const agent = agents.get(name)
    if (!agent) throw new Error(`the test bench has no agent ${name}`)
    return agent
  }
  const links = createAgentLinks({
    router: ROUTER,
    routerIncarnation: INCARNATION,
    dial: (instance, onOffset) => agentOf(instance).dial(instance, onOffset),
    hooks: { onOffset: () => {}, onShared: () => {} },
    timers,
    events,
    random: () => 0.5
  })
  let attemptCount = 0
  const context: ServeContext = {
    instance: ROUTER,
    records,
    links,
    sourcesFor: () => ({
      agents: records.state().agents,
      list: { instances: new Map(listed), sentAtMs: 0, answeredAtMs: 0 },
      viewOf: links.viewOf,
      unreportedSeconds: () => 0,
      hasPrefix: () => false,
      ownDataCentre: 'dc' as DataCentre,
      nowMs: timers.nowMs()
    }),
    sends: createSendLog(),
    prefixes: createPrefixMap(),
    estimates: createEstimates(),
    suspects: createSuspects({ state: records.state, unixMs: timers.unixMs }),
    refusals: createRefusalLog(),
    budgets: createRetryBudgets(),
    shares: createCallerShares(100),
    chooseBackend: chooseFirstReady,
    chooseRetryAfter: retryAfterFixed,
    reads: { pass: async () => {}, isLate: () => false },
    newAttemptId: () => makeAttemptId(ROUTER, INCARNATION, attemptCount++),
    random: () => 0.5,
    timers,
    events,
    metrics: createMetrics()
  }

  records.put({ kind: 'config.set', item: 'service/reader', expectedVersion: 0, bodyJson: JSON.stringify(SERVICE_BODY), operatorName: 'op' })
  for (const [slotIndex, instance] of names.entries()) {
    records.put({
      kind: 'agent.up', instance, incarnation: INCARNATION, dataCentre: 'dc' as DataCentre, services: ['reader' as ServiceName], backendKind: 'engine', memoryCapacityMb: 100, enforcesFence: true
    })
    records.put({ kind: 'right.grant', right: { kind: 'replica', target: MODEL, slotIndex }, instance, incarnation: INCARNATION, expectedFence: 0 })
  }

  /** Advances virtual time until a task is done, and returns its result. */
  const finish = async <T>(task: Promise<T>): Promise<T> => {
    const done = task.then(() => true)
    for (let step = 0; step < MAX_STEPS; step += 1) {
      const isDone = await Promise.race([done, new Promise<false>(resolve => setImmediate(() => resolve(false)))])
      if (isDone) break
      timers.advance(STEP_MS)
    }
    return await task
  }

  /** Advances virtual time by `durationMs`. */
  const settle = async (durationMs: number): Promise<void> => await finish(sleep(timers, durationMs))

  const admitted = (run: Partial<AdmittedRequest['run']> = {}, deadlineMs = 60_000): AdmittedRequest => ({
    receivedAtMs: timers.nowMs(),
    deadlineAtMs: timers.nowMs() + deadlineMs,
    run: {
      caller: 'c' as CallerName,
      tenant: 't',
      requestKey: 'k' as RequestKey,
      issuedAtMs: timers.unixMs(),
      resendCount: 0,
      repeatable: true,
      model: MODEL,
      service: 'reader' as ServiceName,
      adapter: '',
      version: 'v1',
      prefixHint: '',
      prompt: 'p',
      maxTokens: 10,
      priority: 0,
      share: 1,
      fingerprint: 'f',
      ...run
    }
  })

  const grantKeys = (instance: string): void => records.put({
    kind: 'right.grant', right: { kind: 'keys', target: MODEL }, instance: instance as InstanceName, incarnation: INCARNATION, expectedFence: 0
  })

  return { context, timers, records, events, links, agentOf, finish, settle, admitted, grantKeys }
}

/** Collects all parts of an answer. */
export const collectParts = async (parts: AsyncIterable<AnswerPart>): Promise<readonly AnswerPart[]> => {
  const gathered: AnswerPart[] = []
  for await (const part of parts) gathered.push(part)
  return gathered
}

/** Returns the tokens of an answer in the order of delivery. */
export const tokensOf = (parts: readonly AnswerPart[]): readonly string[] =>
  parts.flatMap(part => part.kind === 'tokens' ? [...part.tokens] : [])
