import { randomUUID } from 'node:crypto'
import { createTimerService } from '@figmount/base'
import { decodeRecord, encodeRecord, openLog } from '@figmount/records'

import { modelService } from '../rig/sitePlan.js'
import { sendToSite, expectAnswered, MODEL, MODEL_ID, SERVICE, SLOW_TOKENS, startSmallSite, waitForRun, waitForSlots, warmUp } from '../rig/smallSite.js'

import type { Incarnation, InstanceName, LogOffset, ModelId } from '@figmount/base'
import type { ItemName, LogRecord, PlatformLogCalls } from '@figmount/records'
import type { ConfigChange } from '../rig/sitePlan.js'
import type { Site } from '../rig/createSite.js'

/** A replica slot and the agent that it is granted to. */
type Grant = readonly [slotIndex: number, agent: string]

const WRITER = 'r1' as InstanceName
const START = 0 as LogOffset

const readIncarnations = async (log: PlatformLogCalls): Promise<ReadonlyMap<string, Incarnation>> => {
  const { records } = (await log.read(START, 0).run()).unsafeCoerce()
  const incarnations = new Map<string, Incarnation>()
  for (const { payload } of records) {
    const record = decodeRecord(payload).toMaybe().extractNullable()
    if (record?.kind === 'agent.up') incarnations.set(record.instance, record.incarnation)
  }
  return incarnations
}

const toGrantRecord = ([slotIndex, agent]: Grant, incarnations: ReadonlyMap<string, Incarnation>): LogRecord => ({
  kind: 'right.grant',
  recordId: randomUUID(),
  writer: WRITER,
  right: { kind: 'replica', target: MODEL_ID as ModelId, slotIndex },
  instance: agent as InstanceName,
  incarnation: incarnations.get(agent) ?? '' as Incarnation,
  expectedFence: 0
})

/** Appends all grants in one call, so that no router can append its own grant between them. */
const appendGrants = async (site: Site, service: ConfigChange, grants: readonly Grant[]): Promise<void> => {
  const log = openLog(site.log.address, createTimerService())
  let incarnations: ReadonlyMap<string, Incarnation> = new Map()
  await site.rig.waitUntil('the agents to be on the log', async () => {
    incarnations = await readIncarnations(log)
    return grants.every(([, agent]) => incarnations.has(agent))
  })
  const config: LogRecord = {
    kind: 'config.set',
    recordId: randomUUID(),
    writer: WRITER,
    item: service.name as ItemName,
    expectedVersion: 0,
    bodyJson: JSON.stringify(service.body),
    operatorName: 'desk'
  }
  const records = [config, ...grants.map(grant => toGrantRecord(grant, incarnations))]
  const appended = await log.append(records.map(encodeRecord)).run()
  log.close()
  appended.unsafeCoerce()
}

describe('replicas of a model', () => {
  let site: Site
  afterEach(async () => await site.close())

  // Guards against callers that are refused until the rights of a lost instance are voided. Two routers grant slots at the
  // same moment, one of them has only that instance in its view, and the instance gets every slot.
  it('survive the loss of an instance to which racing routers granted every slot', async () => {
    const service = modelService(SERVICE, [{ name: MODEL, maxReplicas: 2 }])
    site = await startSmallSite('replicas-raced', {
      agents: ['a1', 'a2'].map(name => ({ name, services: [SERVICE], backendKeys: SLOW_TOKENS })),
      items: [],
      prepare: async started => { await appendGrants(started, service, [[0, 'a1'], [0, 'a2'], [1, 'a1']]) }
    })
    await waitForSlots(site, 2)
    await warmUp(site)
    const pending = sendToSite(site, { prompt: 'lost', maxTokens: 100 })
    const holder = await waitForRun(site, 'lost')
    await Promise.all([site.agent(holder).kill(), site.backend(holder).kill()])
    expectAnswered([await pending])
  })
})
