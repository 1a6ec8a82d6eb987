/**
 * A simulation of agents, engines, proposers, an instance list and a log, in which messages may be late,
 * lost or duplicated and processes paused or killed. It uses the real fold and proposals; the agents
 * follow the rules in docs/design/rights.md.
 */
import { createAgent, createEngine, createProposers } from './slotAgents.js'
import { createTestLog } from './createTestLog.js'
import { agentUp, setConfig, twoReplicaService } from './records.js'
import { proposeRights } from '../proposals/proposeRights.js'
import { proposeVoids } from '../proposals/proposeVoids.js'
import { MIN_LIST_ABSENCE_MS, MAX_LIST_READ_GAP_MS } from '../proposals/constants.js'
import { trackAbsences } from '../proposals/trackAbsences.js'
import { emptyState } from '../fold/emptyState.js'
import { findModel } from '../config/selectors.js'
import { AUTHORITY_MS, ORDER_DEADLINE_MS } from '../rights/constants.js'

import type { InstanceName, ModelId } from '@figmount/base'
import type { AgreedState, LogRecord } from '../fold/types.js'
import type { TestLog } from './createTestLog.js'
import type { NewRecord } from '../log/types.js'
import type { Agent, Engine, Order, Proposer, SlotStep } from './slotAgents.js'
import type { EngineReachability, ListedInstance } from '../proposals/types.js'
import type { RightState } from '../rights/types.js'

export const MODEL = 'reader/m' as ModelId
const RELEASE_DELAY_MS = ORDER_DEADLINE_MS + 1_000

const TURN_STEPS = ['readStart', 'readEnd', 'act', 'send', 'engine'] as const

const TIME_STEPS_MS = [100, 500, 1_000, 2_000, 3_000, 5_000, 9_000] as const

export interface SlotSimulation {
  readonly step: (step: SlotStep) => void
  /** Current violations of the limit on replicas; empty if there are none. */
  readonly findViolations: () => readonly string[]
  /** Number of loads that engines have executed so far. */
  readonly loadCount: () => number
  readonly appliedCount: TestLog['appliedCount']
}

export const createSlotSimulation = (): SlotSimulation => {
  const log = createTestLog()
  const agents = [createAgent('a0', true), createAgent('a1', false), createAgent('a2', true)]
  const proposers = createProposers()
  let nowMs = 1_000_000
  let isLogDown = false
  let incarnationCount = 0
  let loadCount = 0

  const isActive = (agent: Agent): boolean => agent.isRunning && !agent.isPaused && !agent.isReclaimed

  const announce = (agent: Agent): void => {
    const up = { ...agentUp(agent.name, agent.incarnation), enforcesFence: agent.engine.enforcesFence }
    // Each announcement needs an id of its own: a voided agent announces itself again with the same incarnation.
    const { recordId, ...record } = up as Extract<LogRecord, { kind: 'agent.up' }>
    log.send(record, agent.name, agent.incarnation)
  }

  const isUp = (agent: Agent): boolean => {
    const facts = agent.view.agents.get(agent.name)
    return facts?.incarnation === agent.incarnation && !facts.gone
  }

  const mayLoad = (agent: Agent): boolean =>
    isUp(agent) && (nowMs - agent.confirmedAtMs < AUTHORITY_MS || agent.listed !== 'missing')

  const rightsHeldBy = (agent: Agent): readonly RightState[] =>
    [...agent.view.rights.values()].filter(right => right.holder === agent.name && right.status !== 'free' && right.key.kind === 'replica')

  const addOrder = (agent: Agent, order: Order): void => { agent.orders = [...agent.orders, order] }

  const actOnRight = (agent: Agent, right: RightState): void => {
    if (right.key.kind !== 'replica' || agent.releasing.has(right.fence)) return
    const slotCount = findModel(agent.view, MODEL)?.maxReplicas ?? 0
    const isKept = !agent.isLeaving && right.status === 'granted' && right.key.slotIndex < slotCount
    const hasOrder = agent.orders.length > 0
    const isLoaded = agent.engine.loaded !== undefined
    const order = { slotIndex: right.key.slotIndex, fence: right.fence }
    if (isKept && !isLoaded && !hasOrder && mayLoad(agent)) return addOrder(agent, { kind: 'load', ...order })
    if (isKept || hasOrder) return
    if (agent.engine.loaded?.fence === right.fence) return addOrder(agent, { kind: 'unload', ...order })
    // Waits until every order of an earlier run of the agent has expired.
    if (!isUp(agent) || nowMs - agent.startedAtMs < RELEASE_DELAY_MS) return
    agent.releasing = new Set([...agent.releasing, right.fence])
  }

  const act = (agent: Agent): void => {
    if (!isUp(agent)) announce(agent)
    const held = rightsHeldBy(agent)
    for (const right of held) actOnRight(agent, right)
    for (const right of held) {
      if (!agent.releasing.has(right.fence)) continue
      log.send({ kind: 'right.release', right: right.key, fence: right.fence }, agent.name, agent.incarnation)
    }
    const { loaded } = agent.engine
    if (!isUp(agent) || !loaded || agent.orders.length > 0 || held.some(right => right.fence === loaded.fence)) return
    addOrder(agent, { kind: 'unload', ...loaded })
  }

  const isAccepted = (engine: Engine, order: Order): boolean =>
    (order.expiresMs === undefined || nowMs <= order.expiresMs) && (!engine.enforcesFence || order.fence >= engine.highestFence)

  const takeOrder = (agent: Agent, isOrphaned: boolean): Order | undefined => {
    const [order, ...rest] = isOrphaned ? agent.orphanedOrders : agent.orders
    if (!order || order.expiresMs === undefined) return undefined
    if (isOrphaned) agent.orphanedOrders = rest
    else agent.orders = rest
    return order
  }

  const executeOrder = (agent: Agent, isOrphaned: boolean): void => {
    const order = takeOrder(agent, isOrphaned)
    if (!order || agent.isReclaimed) return
    if (!isAccepted(agent.engine, order)) return
    agent.engine.highestFence = Math.max(agent.engine.highestFence, order.fence)
    if (order.kind === 'load') loadCount += 1
    agent.engine.loaded = order.kind === 'load' ? { slotIndex: order.slotIndex, fence: order.fence } : undefined
  }

  const start = (agent: Agent): void => {
    incarnationCount += 1
    Object.assign(agent, {
      incarnation: `i${String(incarnationCount).padStart(3, '0')}`,
      isRunning: true,
      isPaused: false,
      isLeaving: false,
      listed: 'unknown',
      view: emptyState,
      confirmedAtMs: -Infinity,
      startedAtMs: nowMs,
      reading: undefined,
      releasing: new Set()
    })
    announce(agent)
  }

  // Orders that were not sent yet are lost with the process; those in flight are not.
  const kill = (agent: Agent): void => {
    agent.isRunning = false
    agent.orphanedOrders = [...agent.orphanedOrders, ...agent.orders.filter(order => order.expiresMs !== undefined)]
    agent.orders = []
  }

  const reclaim = (agent: Agent): void => {
    kill(agent)
    agent.isReclaimed = true
    agent.orphanedOrders = []
    agent.engine.loaded = undefined
  }

  const contactEngine = (agent: Agent, view: AgreedState): EngineReachability => {
    if (agent.isReclaimed) return 'unreachable'
    if (!agent.engine.enforcesFence) return 'reachable'
    agent.engine.highestFence = Math.max(agent.engine.highestFence, view.nextOffset)
    agent.engine.loaded = undefined
    return 'fenced'
  }

  const readList = (proposer: Proposer): readonly ListedInstance[] => {
    const instances = agents.filter(agent => agent.isListed).map(agent => ({ name: agent.name, leaving: false }))
    proposer.absences = trackAbsences(proposer.absences, proposer.view, { instances, sentAtMs: nowMs, answeredAtMs: nowMs })
    return instances
  }

  const propose = (proposer: Proposer): void => {
    if (!isLogDown) proposer.view = log.present()
    const instances = readList(proposer)
    const mayPropose = (): boolean => true
    const engineOf = (name: InstanceName): EngineReachability => {
      const agent = agents.find(candidate => candidate.name === name)
      return agent ? contactEngine(agent, proposer.view) : 'unreachable'
    }
    const records: readonly NewRecord[] = [
      ...proposeVoids(proposer.view, proposer.absences, { mayPropose, engineOf }),
      ...proposeRights(proposer.view, instances, { mayPropose }, nowMs + proposer.clockErrorMs)
    ]
    for (const record of records) log.send(record, proposer.name)
  }

  const watch = (proposer: Proposer): void => {
    for (let elapsedMs = 0; elapsedMs <= MIN_LIST_ABSENCE_MS; elapsedMs += MAX_LIST_READ_GAP_MS) {
      readList(proposer)
      nowMs += MAX_LIST_READ_GAP_MS
    }
    propose(proposer)
  }

  const readEnd = (agent: Agent): void => {
    if (!agent.reading) return
    const { sentAtMs, head } = agent.reading
    if (head > agent.view.nextOffset) agent.view = log.stateAt(head)
    agent.confirmedAtMs = sentAtMs
    agent.reading = undefined
  }

  const setMaxReplicas = (maxReplicas: number): void => {
    const [model] = twoReplicaService.models
    const version = log.present().items.get('service/reader')?.version ?? 0
    const body = { ...twoReplicaService, models: [{ ...model, maxReplicas }] }
    log.send(setConfig('service/reader', version, body, `set-${version}-${maxReplicas}`) as NewRecord, 'r0')
  }

  const stepAgent = (agent: Agent, { kind, n }: SlotStep): void => {
    switch (kind) {
      case 'pause': agent.isPaused = true; return
      case 'resume': agent.isPaused = false; return
      case 'kill': return kill(agent)
      case 'restart': return agent.isReclaimed ? undefined : (kill(agent), start(agent))
      case 'reclaim': return reclaim(agent)
      case 'replace':
        if (!agent.isReclaimed) return
        agent.isReclaimed = false
        agent.engine = createEngine(agent.engine.enforcesFence)
        agent.isListed = true
        return start(agent)
      case 'listDrop':
        if (agent.isReclaimed || agent.isPaused || agent.isCutOff) agent.isListed = false
        return
      case 'listBack': agent.isListed = !agent.isReclaimed; return
      case 'cut': agent.isCutOff = true; return
      case 'uncut': agent.isCutOff = false; return
      case 'engine': return executeOrder(agent, n < 3)
      case 'leave': agent.isLeaving = true; return
      case 'drain':
        return log.send({ kind: 'drain.set', instance: agent.name, draining: n < 2, operatorName: 'op' }, 'r0')
    }
    if (!isActive(agent)) return
    switch (kind) {
      case 'readStart':
        if (!isLogDown && !agent.isCutOff) agent.reading = { sentAtMs: nowMs, head: log.head() }
        return
      case 'readEnd': return readEnd(agent)
      case 'readList': agent.listed = agent.isListed ? 'present' : 'missing'; return
      case 'gossip': {
        const offset = proposers[n % proposers.length]?.view.nextOffset ?? 0
        if (offset > agent.view.nextOffset) agent.view = log.stateAt(offset)
        return
      }
      case 'act': return act(agent)
      case 'turn':
        for (const part of TURN_STEPS) stepAgent(agent, { kind: part, who: 0, n: 6 })
        return
      case 'send':
        agent.orders = agent.orders.map(order => order.expiresMs === undefined ? { ...order, expiresMs: nowMs + ORDER_DEADLINE_MS } : order)
    }
  }

  const step = (next: SlotStep): void => {
    const agent = agents[next.who % agents.length] as Agent
    switch (next.kind) {
      case 'time': nowMs += TIME_STEPS_MS[next.n % TIME_STEPS_MS.length] ?? 0; return
      case 'logDown': isLogDown = true; return
      case 'logUp': isLogDown = false; return
      case 'deliver': return isLogDown ? undefined : log.deliver(next.who, nowMs, next.n === 0)
      case 'deliverAll':
        if (!isLogDown) log.deliverAll(nowMs)
        return
      case 'lose': return log.lose(next.who)
      case 'propose': return propose(proposers[next.who % proposers.length] as Proposer)
      case 'watch': return watch(proposers[next.who % proposers.length] as Proposer)
      case 'maximum': return setMaxReplicas(1 + next.n % 2)
      default: return stepAgent(agent, next)
    }
  }

  // Every model that is loaded, or that a pending order may load, must be covered by a right in the log.
  const findViolations = (): readonly string[] => {
    const violations: string[] = []
    const rights = log.present().rights
    for (const agent of agents) {
      const { engine } = agent
      const open = [...agent.orders, ...agent.orphanedOrders].filter(order => order.kind === 'load' && isAccepted(engine, order))
      for (const { slotIndex, fence } of [...open, ...engine.loaded ? [engine.loaded] : []]) {
        const right = rights.get(`replica:${MODEL}:${slotIndex}` as RightState['id'])
        if (right && right.status !== 'free' && right.holder === agent.name && right.fence === fence) continue
        violations.push(`${agent.name} loaded or may load slot ${slotIndex} under fence ${fence}; the right in the log is ${right?.status} ${right?.holder} ${right?.fence}`)
      }
    }
    return violations
  }

  setMaxReplicas(2)
  for (const agent of agents) announce(agent)
  return { step, findViolations, loadCount: () => loadCount, appliedCount: log.appliedCount }
}
