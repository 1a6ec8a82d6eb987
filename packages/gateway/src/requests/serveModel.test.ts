import { expect } from 'chai'
import { Right } from 'purify-ts'
import { createEventLog, createMetrics, createVirtualTimers } from '@figmount/base'
import { createCrashHistory } from '@figmount/fleet'

import { createDirectory } from '../directory/createDirectory.js'
import { createDemandMeter } from '../demand/createDemandMeter.js'
import { createUnmetModels } from '../demand/createUnmetModels.js'
import { createColdLoads } from '../placing/createColdLoads.js'
import { createOccupancyMeter } from '../placing/createOccupancyMeter.js'
import { createQueueScaler } from '../placing/createQueueScaler.js'
import { createStop } from '../stopping/createStop.js'
import { makeAgentState } from '../testing/makeAgentState.js'
import { makePartGuard } from '../testing/makePartGuard.js'
import { makeServerEntry } from '../testing/makeServerEntry.js'
import { makeServerLimits } from '../testing/makeServerLimits.js'
import { MAX_LOST_LOADS } from './constants.js'
import { createRefusedWants } from './createRefusedWants.js'
import { shouldShed } from './shouldShed.js'
import { serveModel } from './serveModel.js'

import type { InstanceName } from '@figmount/base'
import type { WantOutcome } from '../agents/types.js'
import type { GatewayContext, RoutedRequest } from './types.js'

const MODEL = { name: 'm', weightsMb: 10, coldLoadMs: 6_000, diskLoadMs: 400, memoryLoadMs: 300, adapterMb: 0 }

const OTHER_MODEL = { ...MODEL, name: 'n' }

const STOP_MS = 8_000

const IDENTITY = { contentHash: 'h', callerId: 'c' }

/** A router with two engines that have the model on disk; `answer` gives the outcome of each want, or undefined if it stays open. */
const setUp = (answer: (address: string) => WantOutcome | undefined) => {
  const timers = createVirtualTimers()
  const events = createEventLog({ instance: 'r' as InstanceName, role: 'router', timers })
  const directory = createDirectory({ timers, events, decodeServer: key => Right(makeServerEntry(key)), isServiceConfigured: () => true, onEntry: () => {} })
  for (const serverId of ['a', 'b']) {
    directory.takeRecords([{ key: serverId, value: Buffer.from('x'), offset: 1 }])
    directory.takeState(`${serverId}:1`, makeAgentState(serverId, { onDisk: ['m'] }))
  }
  const asked: string[] = []
  const dropped: string[] = []
  const statuses: number[] = []
  const retriesMs: number[] = []
  const stop = createStop(timers, STOP_MS)
  const context = {
    timers,
    events,
    metrics: createMetrics(),
    directory,
    codec: {
      encodeRefusal: (_requestId: string, retryAfterMs: number) => {
        retriesMs.push(retryAfterMs)
        return []
      }
    },
    demand: createDemandMeter(timers),
    unmetModels: createUnmetModels(timers),
    refusedWants: createRefusedWants(events, () => true),
    areCopiesKnown: () => true,
    crashes: createCrashHistory(timers),
    partGuard: makePartGuard(timers, events),
    serverLimits: makeServerLimits(timers),
    stop,
    queueScaler: createQueueScaler(timers),
    coldLoads: createColdLoads(timers, () => MODEL.coldLoadMs),
    occupancy: createOccupancyMeter(),
    agents: {
      find: (address: string) => ({
        want: () => {
          asked.push(address)
          let settle: (outcome: WantOutcome) => void = () => {}
          const outcome = new Promise<WantOutcome>(resolve => { settle = resolve })
          const answered = answer(address)
          if (answered) settle(answered)
          const drop = (reason: string): void => {
            dropped.push(address)
            settle({ isReady: false, isLost: false, reason })
          }
          return { outcome, drop }
        }
      })
    },
    routerCount: () => 1,
    deployment: () => ({ services: [{ name: 's', engine: { models: [MODEL, OTHER_MODEL], weightsCapacityMb: 100, adapterSlots: 1 } }] })
  } as unknown as GatewayContext
  const request = {
    caller: { requestId: 'r1', modelName: 'm', adapterName: '', promptTokens: 10, promptParts: [], lastEventId: '' },
    route: { patienceMs: 5_000, objectiveMs: 500, isResumable: false, maxAttempts: 1 },
    serviceName: 's',
    arrivedMs: 0,
    untilMs: 5_000,
    callerLeft: new AbortController().signal,
    identity: IDENTITY,
    response: { headersSent: false, destroyed: false, writeHead: (status: number) => { statuses.push(status) }, end: () => {} }
  } as unknown as RoutedRequest
  return { timers, stop, directory, context, request, asked, dropped, statuses, retriesMs }
}

describe('serving a request whose model no engine holds', () => {
  it('asks another engine when the first one dies during the load', async () => {
    // Guards against a refusal while another engine still has time to load the model.
    const { directory, context, request, asked } = setUp(address => {
      directory.takeState(address, makeAgentState(address.charAt(0), { isUp: false }))
      return { isReady: false, isLost: true, reason: 'engine is down' }
    })
    await serveModel(context, request)
    expect(asked).to.have.members(['a:1', 'b:1'])
  })

  it('refuses a waiting request when it becomes known that engines died of it', async () => {
    // Guards against a request that waits for its model, and then costs a third engine.
    const { context, request, asked, statuses } = setUp(() => {
      for (const serverId of ['x', 'y']) context.crashes.note({ identity: IDENTITY, start: { serverId, startedAtUnixMs: undefined }, ageMs: 0 })
      return { isReady: false, isLost: true, reason: 'engine is down' }
    })
    await serveModel(context, request)
    expect(asked).to.have.length(1)
    expect(statuses).to.deep.equal([503])
  })

  it('refuses the request after a few engines went down', async () => {
    const { context, request, asked, statuses } = setUp(() => ({ isReady: false, isLost: true, reason: 'the agent does not answer' }))
    await serveModel(context, request)
    expect(asked).to.have.length(MAX_LOST_LOADS + 1)
    expect(statuses).to.deep.equal([503])
  })

  it('moves to an engine that has started to load the model', async () => {
    // Guards against one model being loaded twice by routers that chose different engines.
    const { directory, context, request, asked, dropped } = setUp(address => {
      if (asked.length > 1) return { isReady: false, isLost: false, reason: 'not in time' }
      const other = address === 'a:1' ? 'b' : 'a'
      const begun = makeAgentState(other, { onDisk: ['m'], loadingModel: 'm', loadingForMs: 5, loadingLeftMs: 300 })
      setImmediate(() => { directory.takeState(`${other}:1`, begun) })
      return undefined
    })
    await serveModel(context, request)
    expect(asked).to.have.members(['a:1', 'b:1'])
    expect(dropped).to.have.length(1)
    expect(dropped[0]).to.equal(asked[0])
  })

  it('moves to an engine that will have the model sooner', async () => {
    // Guards against waiting for a busy engine while another one is idle.
    const { timers, directory, context, request, asked, dropped } = setUp(() =>
      asked.length > 1 ? { isReady: false, isLost: false, reason: 'not in time' } : undefined)
    const behind = { onDisk: ['m'], loadingModel: 'x', loadingForMs: 5, loadingLeftMs: 3_000, queuedModels: ['m'] }
    directory.takeState('a:1', makeAgentState('a', behind))
    directory.takeState('b:1', makeAgentState('b', { onDisk: ['m'], loadingModel: 'y', loadingForMs: 5, loadingLeftMs: 4_500 }))
    const served = serveModel(context, request)
    await new Promise(resolve => { setImmediate(resolve) })
    directory.takeState('b:1', makeAgentState('b', { onDisk: ['m'] }))
    timers.advance(250)
    await served
    expect(asked).to.deep.equal(['a:1', 'b:1'])
    expect(dropped).to.deep.equal(['a:1'])
  })

  it('waits at engines where only other models are queued for the weight store', async () => {
    // Guards against a retry-after of seconds for a load that takes a tenth of a second.
    const { directory, context, request, asked, statuses } = setUp(() => undefined)
    for (const serverId of ['a', 'b']) {
      directory.takeState(`${serverId}:1`, makeAgentState(serverId, { onDisk: ['m'], coldWaitMs: 1_600, queuedModels: ['n'] }))
    }
    const still = new Promise(resolve => { setImmediate(() => { resolve('waits') }) })
    expect(await Promise.race([serveModel(context, request), still])).to.equal('waits')
    expect(asked).to.have.length(1)
    expect(statuses).to.deep.equal([])
  })

  it('refuses at once when the model is not loaded in time', async () => {
    const { context, request, asked, statuses } = setUp(() => ({ isReady: false, isLost: false, reason: 'not in time' }))
    await serveModel(context, request)
    expect(asked).to.have.length(1)
    expect(statuses).to.deep.equal([503])
  })

  it('refuses at once when the adapter would have to wait for a long load', async () => {
    // Guards against callers that are kept waiting while an engine loads, only to be refused.
    const { directory, context, request, asked, statuses, retriesMs } = setUp(() => undefined)
    const held = { models: [{ name: 'm', adapters: [] }], loadingModel: 'other', loadingForMs: 5, loadingLeftMs: 6_000 }
    directory.takeState('a:1', makeAgentState('a', held))
    directory.takeState('b:1', makeAgentState('b', { isUp: false }))
    await serveModel(context, { ...request, caller: { ...request.caller, adapterName: 'x' } })
    expect(statuses).to.deep.equal([503])
    expect(asked).to.deep.equal(['a:1'])
    expect(retriesMs[0]).to.be.within(6_000, 6_100)
  })

  it('refuses a waiting request as soon as a stop leaves it no time', async () => {
    // Guards against a stop that closes the connection without an answer.
    const { stop, directory, context, request, statuses, retriesMs, dropped } = setUp(() => {
      setImmediate(() => { stop.ask() })
      return undefined
    })
    const patient = { ...request, route: { ...request.route, patienceMs: 99_000 }, untilMs: 99_000 }
    directory.takeState('a:1', makeAgentState('a', { loadingModel: 'm', loadingForMs: 5, loadingLeftMs: 60_000 }))
    directory.takeState('b:1', makeAgentState('b', { isUp: false }))
    await serveModel(context, patient)
    expect(statuses).to.deep.equal([503])
    expect(retriesMs).to.deep.equal([60_000])
    expect(dropped).to.deep.equal(['a:1'])
  })

  it('requests no load that would end after the stop', async () => {
    const { stop, context, request, asked, statuses } = setUp(() => undefined)
    stop.ask()
    await serveModel(context, { ...request, route: { ...request.route, objectiveMs: STOP_MS } })
    expect(statuses).to.deep.equal([503])
    expect(asked).to.deep.equal([])
  })

  it('keeps a place at the weight store for a model whose callers it refuses', async () => {
    // Guards against a model without a copy that is never loaded, as each time the store is free another model is asked for first.
    const { directory, context, request, asked, statuses, retriesMs } = setUp(() => undefined)
    for (const serverId of ['a', 'b']) directory.takeState(`${serverId}:1`, makeAgentState(serverId))
    context.coldLoads.takeState('x', makeAgentState('x', { loadingModel: 'n', isLoadingCold: true, loadingForMs: 1 }))
    await serveModel(context, request)
    expect(asked).to.have.length(1)
    expect(statuses).to.deep.equal([503])
    expect(retriesMs[0]).to.be.within(1.9 * MODEL.coldLoadMs, 2.1 * MODEL.coldLoadMs)
  })

  it('asks for no load from the weight store while engines may have copies that they have not reported', async () => {
    // Guards against routers that restart with their agents and have models loaded that the next engine has on its disk.
    const { directory, context, request, asked, statuses, retriesMs } = setUp(() => undefined)
    for (const serverId of ['a', 'b']) directory.takeState(`${serverId}:1`, makeAgentState(serverId))
    await serveModel({ ...context, areCopiesKnown: () => false }, request)
    expect(asked).to.deep.equal([])
    expect(statuses).to.deep.equal([503])
    expect(retriesMs).to.deep.equal([500])
  })

  it('asks for no load that would wait behind more loads than callers wait for', async () => {
    const { directory, context, request, asked, statuses } = setUp(() => undefined)
    for (const serverId of ['a', 'b']) directory.takeState(`${serverId}:1`, makeAgentState(serverId))
    for (const address of ['w', 'x', 'y', 'z']) context.coldLoads.takeState(address, makeAgentState(address, { nextColdModel: address }))
    await serveModel(context, request)
    expect(asked).to.deep.equal([])
    expect(statuses).to.deep.equal([503])
  })

  it('withdraws the want of a refused caller when another engine loads the model', async () => {
    // Guards against a second load from the weight store for callers who have been served.
    const { directory, context, request, asked, dropped } = setUp(() => undefined)
    for (const serverId of ['a', 'b']) directory.takeState(`${serverId}:1`, makeAgentState(serverId))
    await serveModel(context, request)
    const own = asked[0] ?? ''
    const other = own === 'a:1' ? 'b' : 'a'
    const loading = (serverId: string): void => {
      context.refusedWants.takeState(`${serverId}:1`, makeAgentState(serverId, { loadingModel: 'm', isLoadingCold: true, loadingForMs: 1 }))
    }
    loading(own.charAt(0))
    expect(dropped).to.deep.equal([])
    loading(other)
    expect(dropped).to.deep.equal([own])
  })

  it('sheds requests when the engines that hold the model are full, but never those with the top priority', async () => {
    const { directory, context, request, statuses, retriesMs } = setUp(() => undefined)
    const route = (priority: number): RoutedRequest['route'] =>
      ({ ...request.route, priority, kind: 'stream', shares: [{ serviceName: 's', weight: 1 }] })
    const overloaded = {
      ...context,
      occupancy: { note: () => {}, meanMs: () => 2_000 },
      random: () => 0.5,
      deployment: () => ({ ...context.deployment(), routes: [route(0), route(1)] })
    } as unknown as GatewayContext
    directory.takeState('a:1', makeAgentState('a', { models: [{ name: 'm', adapters: [] }] }))
    directory.takeLoad('a:1', { type: 'load', runningCount: 1, startingCount: 3 })
    await serveModel(overloaded, { ...request, route: route(1), priority: 1 })
    expect(statuses).to.deep.equal([503])
    expect(retriesMs).to.deep.equal([1_500])
    expect(shouldShed(overloaded, { ...request, route: route(1), priority: 1 }, 8_000, 5_000)).to.equal(true)
    expect(shouldShed(overloaded, { ...request, route: route(0), priority: 0 }, 8_000, 5_000)).to.equal(false)
  })
})
