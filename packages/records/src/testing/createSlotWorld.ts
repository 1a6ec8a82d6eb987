/**
 * A small world of agents, engines, proposers, a list and a log, in which everything may be late,
 * lost, doubled, paused or killed. The fold and the proposals are the real ones; the agents follow
 * the rules in docs/design/rights.md.
 */
import { newAgent, newEngine, newProposers } from './slotAgents.js'
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
import type { EngineReach, ListedInstance } from '../proposals/types.js'
import type { RightState } from '../rights/types.js'

export const MODEL = 'reader/m' as ModelId
const SETTLE_MS = ORDER_DEADLINE_MS + 1_000

const TURN = ['readStart', 'readEnd', 'act', 'send', 'engine'] as const

const TIME_STEPS_MS = [100, 500, 1_000, 2_000, 3_000, 5_000, 9_000] as const

export interface SlotWorld {
  readonly step: (step: SlotStep) => void
  /** What speaks against the bound now; empty if nothing does. */
  readonly findViolations: () => readonly string[]
  /** Loads that engines have carried out so far. */
  readonly loadCount: () => number
  readonly appliedCount: TestLog['appliedCount']
}

export const createSlotWorld = (): SlotWorld => {
  const log = createTestLog()
  const agents = [newAgent('a0', true), newAgent('a1', false), newAgent('a2', true)]
  const proposers = newProposers()
  let nowMs = 1_000_000
  let isLogDown = false
  let incarnationCount = 0
  let loadCount = 0

  const isAwake = (agent: Agent): boolean => agent.isRunning && !agent.isPaused && !agent.isReclaimed

  const announce = (agent: Agent): void => {
    const up = { ...agentUp(agent.name, agent.incarnation), enforcesFence: agent.engine.enforcesFence }
    // Each announcement has an id of its own: an agent that was voided comes up again as it is.
    const { recordId, ...record } = up as Extract<LogRecord, { kind: 'agent.up' }>
    log.send(record, agent.name, agent.incarnation)
  }

  const isUp = (agent: Agent): boolean => {
    const facts = agent.view.agents.get(agent.name)
    return facts?.incarnation === agent.incarnation && !facts.gone
  }

  const mayLoad = (agent: Agent): boolean =>
    isUp(agent) && (nowMs - agent.confirmedAtMs < AUTHORITY_MS || agent.listed !== 'missing')

  const heldBy = (agent: Agent): readonly RightState[] =>
    [...agent.view.rights.values()].filter(right => right.holder === agent.name && right.status !== 'free' && right.key.kind === 'replica')

  const addOrder = (agent: Agent, order: Order): void => { agent.orders = [...agent.orders, order] }

  const follow = (agent: Agent, right: RightState): void => {
    if (right.key.kind !== 'replica' || agent.releasing.has(right.fence)) return
    const slotCount = findModel(agent.view, MODEL)?.maxReplicas ?? 0
    const isKept = !agent.isLeaving && right.status === 'granted' && right.key.slotIndex < slotCount
    const hasOrder = agent.orders.length > 0
    const isLoaded = agent.engine.loaded !== undefined
    const order = { slotIndex: right.key.slotIndex, fence: right.fence }
    if (isKept && !isLoaded && !hasOrder && mayLoad(agent)) return addOrder(agent, { kind: 'load', ...order })
    if (isKept || hasOrder) return
    if (agent.engine.loaded?.fence === right.fence) return addOrder(agent, { kind: 'unload', ...order })
    // Not before every order of an earlier run of the agent has expired.
    if (!isUp(agent) || nowMs - agent.startedAtMs < SETTLE_MS) return
    agent.releasing = new Set([...agent.releasing, right.fence])
  }

  const act = (agent: Agent): void => {
    if (!isUp(agent)) announce(agent)
    const held = heldBy(agent)
    for (const right of held) follow(agent, right)
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

  const takeOrder = (agent: Agent, isStray: boolean): Order | undefined => {
    const [order, ...rest] = isStray ? agent.strayOrders : agent.orders
    if (!order || order.expiresMs === undefined) return undefined
    if (isStray) agent.strayOrders = rest
    else agent.orders = rest
    return order
  }

  const carryOut = (agent: Agent, isStray: boolean): void => {
    const order = takeOrder(agent, isStray)
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

  // Orders that have not left the process die with it; those on their way do not.
  const kill = (agent: Agent): void => {
    agent.isRunning = false
    agent.strayOrders = [...agent.strayOrders, ...agent.orders.filter(order => order.expiresMs !== undefined)]
    agent.orders = []
  }

  const reclaim = (agent: Agent): void => {
    kill(agent)
    agent.isReclaimed = true
    agent.strayOrders = []
    agent.engine.loaded = undefined
  }

  const reach = (agent: Agent, view: AgreedState): EngineReach => {
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
    const engineOf = (name: InstanceName): EngineReach => {
      const agent = agents.find(candidate => candidate.name === name)
      return agent ? reach(agent, proposer.view) : 'unreachable'
    }
    const records: readonly NewRecord[] = [
      ...proposeVoids(proposer.view, proposer.absences, { mayPropose, engineOf }),
      ...proposeRights(proposer.view, instances, { mayPropose }, nowMs + proposer.clockErrorMs)
    ]
    for (const record of records) log.send(record, proposer.name)
  }

  const watch = (proposer: Proposer): void => {
    for (let passedMs = 0; passedMs <= MIN_LIST_ABSENCE_MS; passedMs += MAX_LIST_READ_GAP_MS) {
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

  const setMaximum = (maxReplicas: number): void => {
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
        agent.engine = newEngine(agent.engine.enforcesFence)
        agent.isListed = true
        return start(agent)
      case 'listDrop':
        if (agent.isReclaimed || agent.isPaused || agent.isCutOff) agent.isListed = false
        return
      case 'listBack': agent.isListed = !agent.isReclaimed; return
      case 'cut': agent.isCutOff = true; return
      case 'uncut': agent.isCutOff = false; return
      case 'engine': return carryOut(agent, n < 3)
      case 'leave': agent.isLeaving = true; return
      case 'drain':
        return log.send({ kind: 'drain.set', instance: agent.name, draining: n < 2, operatorName: 'op' }, 'r0')
    }
    if (!isAwake(agent)) return
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
        for (const part of TURN) stepAgent(agent, { kind: part, who: 0, n: 6 })
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
      case 'maximum': return setMaximum(1 + next.n % 2)
      default: return stepAgent(agent, next)
    }
  }

  // Every load that is there or may still come about must be under the right as the log has it.
  const findViolations = (): readonly string[] => {
    const violations: string[] = []
    const rights = log.present().rights
    for (const agent of agents) {
      const { engine } = agent
      const open = [...agent.orders, ...agent.strayOrders].filter(order => order.kind === 'load' && isAccepted(engine, order))
      for (const { slotIndex, fence } of [...open, ...engine.loaded ? [engine.loaded] : []]) {
        const right = rights.get(`replica:${MODEL}:${slotIndex}` as RightState['id'])
        if (right && right.status !== 'free' && right.holder === agent.name && right.fence === fence) continue
        violations.push(`${agent.name} has or may get slot ${slotIndex} under ${fence}; the log says ${right?.status} ${right?.holder} ${right?.fence}`)
      }
    }
    return violations
  }

  setMaximum(2)
  for (const agent of agents) announce(agent)
  return { step, findViolations, loadCount: () => loadCount, appliedCount: log.appliedCount }
}
