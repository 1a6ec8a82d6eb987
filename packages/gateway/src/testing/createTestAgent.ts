import { createEventLog } from '@figmount/base'
import { HEARTBEAT_MS } from '@figmount/peers'

import { createDemandTotals } from '../../../sidecar/src/demand/createDemandTotals.js'
import { createOrderer } from '../../../sidecar/src/engine/createOrderer.js'
import { hasRestarted } from '../../../sidecar/src/engine/hasRestarted.js'
import { watchEngine } from '../../../sidecar/src/engine/watchEngine.js'
import { changedFields, serializeFields } from '../../../sidecar/src/links/compareStates.js'
import { createLoadLeases } from '../../../sidecar/src/leases/createLoadLeases.js'
import { COLD_SPACING_MS } from '../../../sidecar/src/sidecar/constants.js'
import { createIdentity } from '../../../sidecar/src/sidecar/createIdentity.js'
import { describeEngine } from '../../../sidecar/src/sidecar/describeEngine.js'
import { createWantRegistry } from '../../../sidecar/src/wants/createWantRegistry.js'

import type { EventLog, InstanceName, VirtualTimers } from '@figmount/base'
import type { AgentMessage, AgentState, EngineSpec, RouterMessage, ServerReport, Want, WritableFeed } from '@figmount/fleet'
import type { Orderer } from '../../../sidecar/src/engine/createOrderer.js'
import type { Settle, WantRegistry } from '../../../sidecar/src/wants/createWantRegistry.js'
import type { TestEngine } from './createTestEngine.js'

interface Options {
  readonly engine: TestEngine
  readonly timers: VirtualTimers
  readonly spec: EngineSpec
  readonly leaseFeed: WritableFeed
  readonly makeId: () => string
  readonly isFirstStart: boolean
  readonly routerCount: number
  readonly sendToAll: (message: AgentMessage) => void
  readonly sendTo: (router: string, message: AgentMessage) => void
}

/** An agent with the real orderer, wants and state, linked without a network. */
export interface TestAgent {
  readonly events: EventLog
  readonly orderer: Orderer
  readonly wants: WantRegistry
  readonly take: (router: string, message: RouterMessage) => void
  /** The state for a newly linked router; undefined before the engine's first report. */
  readonly describe: () => AgentState | undefined
  readonly stop: () => void
}

/** Joins the parts of an agent as `startSidecar` does, without its links, its limiters and its deployment. */
export const createTestAgent = ({ engine, timers, spec, leaseFeed, makeId, isFirstStart, routerCount, sendToAll, sendTo }: Options): TestAgent => {
  const events = createEventLog({ instance: engine.name as InstanceName, role: 'agent', timers })
  const demand = createDemandTotals(timers)
  const wants = createWantRegistry(timers)
  let isUp = false
  let isStopped = false
  let lastReport: ServerReport | undefined
  let sentTexts: ReadonlyMap<string, string> = new Map()
  let lastSentMs = -Infinity

  const describe = (): AgentState | undefined => lastReport &&
    describeEngine({ timers, spec, isUp, identity, orderer, demand, wants, deploymentVersion: 0, followsDeployments: true, routerCount })

  const sendUpdate = (): void => {
    const state = isStopped ? undefined : describe()
    if (!state) return
    const texts = serializeFields(state)
    if (changedFields(sentTexts, texts).length === 0) return
    sentTexts = texts
    lastSentMs = timers.nowMs()
    sendToAll(state)
  }

  // Demand and other changing figures are part of each message, but cause none of their own.
  const keepAlive = (): void => {
    const state = isStopped || timers.nowMs() - lastSentMs < HEARTBEAT_MS ? undefined : describe()
    if (!state) return
    lastSentMs = timers.nowMs()
    sendToAll(state)
  }

  const identity = createIdentity({ engine: engine.port, timers, events, healthPath: () => '/', changed: sendUpdate })
  const leases = createLoadLeases({
    feed: leaseFeed,
    instance: engine.name,
    timers,
    events,
    isFirstStart,
    onRestored: () => () => {},
    makeId,
    changed: () => {
      review()
      sendUpdate()
    }
  })
  const orderer = createOrderer({
    engine: engine.port,
    timers,
    reads: { pass: async () => {}, isLate: () => false },
    events,
    demand,
    wants,
    leases,
    spec: () => spec,
    serverId: () => identity.current().serverId,
    noteOtherServer: () => { identity.drop('an order was turned away') },
    coldSpacingMs: COLD_SPACING_MS,
    isFirstStart,
    changed: sendUpdate,
    pollNow: () => { watch.pollNow() }
  })

  const isHeld = (modelName: string): boolean =>
    (orderer.report()?.models.some(held => held.name === modelName) ?? false) && !orderer.leavingModels().includes(modelName)

  const review = (): void => {
    if (isStopped) return
    wants.review(isHeld)
    orderer.review()
  }

  const takeReport = (report: ServerReport): void => {
    if (lastReport && hasRestarted(lastReport, report)) {
      orderer.noteRestart()
      identity.drop('restarted')
      wants.failAll('restarted')
    }
    lastReport = report
    isUp = true
    identity.identify(report.startedAtUnixMs)
    orderer.take(report)
    review()
    sendUpdate()
  }

  const noteDown = (): void => {
    isUp = false
    identity.drop('down')
    orderer.reset()
    wants.failAll('engine is down')
    sendUpdate()
  }

  const takeWant = (router: string, want: Want): void => {
    const settle: Settle = (wantId, outcome) => {
      sendUpdate()
      sendTo(router, { type: 'wantSettled', wantId, ...outcome })
    }
    if (!isUp) return settle(want.wantId, { isReady: false, isLost: true, reason: 'engine is down' })
    wants.add(router, want, settle)
    review()
  }

  const stopKeepAlive = timers.every(HEARTBEAT_MS / 2, keepAlive)
  const watch = watchEngine({ engine: engine.port, timers, events, nextPollMs: orderer.nextPollMs, take: takeReport, down: noteDown })
  return {
    events,
    orderer,
    wants,
    take: (router, message) => {
      if (message.type === 'want') takeWant(router, message)
      if (message.type === 'wantDropped') wants.drop(router, message.wantId)
      if (message.type === 'demand') demand.take(router, message)
    },
    describe,
    stop: () => {
      isStopped = true
      stopKeepAlive()
      watch.stop()
      leases.stop()
      wants.failAll('the agent stops')
    }
  }
}
