import { Right } from 'purify-ts'
import { createEventLog, createMetrics } from '@figmount/base'
import { findModel } from '@figmount/fleet'

import { createDemandMeter } from '../demand/createDemandMeter.js'
import { createUnmetModels } from '../demand/createUnmetModels.js'
import { createDirectory } from '../directory/createDirectory.js'
import { createColdLoads } from '../placing/createColdLoads.js'
import { requestReplica } from '../placing/requestReplica.js'
import { heldModel } from '../placing/viewServers.js'
import { REPLICA_PERIOD_MS, watchReplicas } from '../placing/watchReplicas.js'
import { awaitModel } from '../requests/awaitModel.js'
import { createRefusedWants } from '../requests/createRefusedWants.js'
import { DEMAND_PERIOD_MS } from '../router/constants.js'
import { createDemandReporter } from '../router/createDemandReporter.js'
import { createStop } from '../stopping/createStop.js'
import { makeServerLimits } from './makeServerLimits.js'
import { makeServerEntry } from './makeServerEntry.js'

import type { EventLog, InstanceName, VirtualTimers } from '@figmount/base'
import type { AgentMessage, Deployment, EngineSpec, RouterMessage, ServerEntry } from '@figmount/fleet'
import type { AgentLink, OpenWant, WantOutcome, WantRequest } from '../agents/types.js'
import type { ColdLoads } from '../placing/createColdLoads.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

const STOP_MS = 8_000

interface Options {
  readonly name: string
  readonly timers: VirtualTimers
  readonly spec: EngineSpec
  readonly routerCount: number
  readonly promptTokens: number
  readonly reviewsReplicas: boolean
  readonly isFirstStart: boolean
  /** Sends a message to the agent of the engine at an address. */
  readonly send: (address: string, message: RouterMessage) => void
}

/** A router with the real placing, linked without a network. */
export interface TestRouter {
  readonly events: EventLog
  readonly coldLoads: ColdLoads
  readonly list: (address: string, isListed: boolean) => void
  readonly take: (address: string, message: AgentMessage) => void
  /** A caller's request; resolves to `served` or to the reason of the refusal. */
  readonly ask: (modelName: string, patienceMs: number) => Promise<string>
  /** Asks for a further copy of a model as a queue or a review does. */
  readonly askReplica: (modelName: string) => void
  readonly stop: () => void
}

const SERVICE = 's'

const entryOf = (serverId: string): ServerEntry => makeServerEntry(serverId, { serviceName: SERVICE, address: serverId, slots: 8 })

/** Opens wants as `createAgentLink` does. */
const createTestLink = (timers: VirtualTimers, send: (message: RouterMessage) => void) => {
  const open = new Map<number, (outcome: WantOutcome) => void>()
  let nextWantId = 1
  const settle = (wantId: number, outcome: WantOutcome): void => {
    open.get(wantId)?.(outcome)
    open.delete(wantId)
  }
  const want = ({ adapterName: _, ...rest }: WantRequest): OpenWant => {
    const wantId = nextWantId++
    const stopTimer = timers.after(rest.timeLeftMs, () => { settle(wantId, { isReady: false, isLost: false, reason: 'not in time' }) })
    const outcome = new Promise<WantOutcome>(resolve => {
      open.set(wantId, end => {
        stopTimer()
        resolve(end)
      })
    })
    send({ type: 'want', wantId, ...rest })
    const drop = (reason: string): void => {
      if (!open.has(wantId)) return
      settle(wantId, { isReady: false, isLost: false, reason })
      send({ type: 'wantDropped', wantId })
    }
    return { outcome, drop }
  }
  return { want, settle, send }
}

/** Joins the parts of a router that decide on loads as `startGateway` does. */
export const createTestRouter = ({ name, timers, spec, routerCount, promptTokens, reviewsReplicas, isFirstStart, send }: Options): TestRouter => {
  const events = createEventLog({ instance: name as InstanceName, role: 'router', timers })
  const deployment = { services: [{ name: SERVICE, healthPath: '/', engine: spec }] } as unknown as Deployment
  const links = new Map<string, ReturnType<typeof createTestLink>>()
  const newLinks = new Set<string>()
  const directory = createDirectory({ timers, events, decodeServer: key => Right(entryOf(key)), isServiceConfigured: () => true, onEntry: () => {} })
  const coldLoads = createColdLoads(timers, modelName => findModel(deployment, modelName)?.coldLoadMs)
  const agents = {
    find: (address: string) => links.get(address) as unknown as AgentLink | undefined,
    sendToEach: (messageFor: (address: string, isNew: boolean) => RouterMessage | undefined) => {
      for (const [address, link] of links) {
        const message = messageFor(address, newLinks.delete(address))
        if (message) link.send(message)
      }
    }
  }
  const refusedWants = createRefusedWants(events, () => true)
  const context = {
    timers,
    events,
    metrics: createMetrics(),
    directory,
    agents,
    demand: createDemandMeter(timers),
    unmetModels: createUnmetModels(timers),
    refusedWants,
    isFirstStart,
    areCopiesKnown: () => true,
    coldLoads,
    serverLimits: makeServerLimits(timers),
    deployment: () => deployment,
    routerCount: () => routerCount,
    stop: createStop(timers, STOP_MS),
    random: () => 0
  } as unknown as GatewayContext

  const ask = async (modelName: string, patienceMs: number): Promise<string> => {
    const leavesMs = timers.nowMs() + patienceMs
    const caller = { requestId: 'r', modelName, adapterName: '', promptTokens }
    const request = { caller, serviceName: SERVICE, callerLeft: new AbortController().signal } as unknown as RoutedRequest
    context.demand.note(modelName, '', promptTokens)
    while (timers.nowMs() < leavesMs) {
      const servers = directory.serving(SERVICE)
      if (servers.some(server => heldModel(server, modelName))) {
        context.unmetModels.settle(modelName)
        return 'served'
      }
      const wait = await awaitModel(context, request, () => directory.serving(SERVICE), { lastSendMs: () => Infinity, callerLeavesMs: () => leavesMs })
      if (wait.type !== 'changed') return wait.reason
    }
    return 'no time left'
  }

  const reporter = createDemandReporter(context.demand, directory, agents as unknown as GatewayContext['agents'])
  const stops = [timers.every(DEMAND_PERIOD_MS, reporter.report)]
  if (reviewsReplicas) stops.push(timers.every(REPLICA_PERIOD_MS, () => { watchReplicas(context) }))

  const modelOf = (modelName: string) => spec.models.find(model => model.name === modelName)

  return {
    events,
    coldLoads,
    list: (address, isListed) => {
      directory.takeRecords([{ key: address, value: isListed ? Buffer.from('x') : undefined, offset: 1 }])
      if (isListed && !links.has(address)) {
        links.set(address, createTestLink(timers, message => { send(address, message) }))
        newLinks.add(address)
      }
      if (isListed) return
      links.delete(address)
      coldLoads.lose(address)
      directory.loseAgent(address)
    },
    take: (address, message) => {
      if (message.type === 'wantSettled') links.get(address)?.settle(message.wantId, message)
      if (message.type !== 'state' || !links.has(address)) return
      coldLoads.takeState(address, message)
      directory.takeState(address, message)
      refusedWants.takeState(address, message)
    },
    ask,
    askReplica: modelName => {
      const model = modelOf(modelName)
      if (model) requestReplica(context, { spec, model, servers: directory.serving(SERVICE), lateCount: 0, reason: 'queue' })
    },
    stop: () => {
      for (const stop of stops) stop()
    }
  }
}
