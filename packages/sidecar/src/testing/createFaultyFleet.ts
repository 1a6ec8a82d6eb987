import { createEventLog, createVirtualTimers } from '@figmount/base'
import { makeRandom } from '@figmount/decisions'

import { FALLBACK_MS, LEASE_CALL_TIMEOUT_MS, LEASE_POLL_MS } from '../leases/constants.js'
import { createLoadLeases } from '../leases/createLoadLeases.js'
import { decodeLease, decodeLimit, LIMIT_KEY } from '../leases/leaseCodec.js'
import { createFaultyFeed, createTestProcess, StoreMode } from './createFaultyFeed.js'

import type { InstanceName } from '@figmount/base'
import type { NewRecord } from '@figmount/fleet'
import type { LoadLeases } from '../leases/types.js'
import type { TestProcess } from './createFaultyFeed.js'

/** Time that a load takes at full speed. */
export const LOAD_MS = 8_000

/** An agent that was out of reach may go on without leases until its read at the store ends. */
export const REGAIN_MS = LEASE_POLL_MS + 2 * LEASE_CALL_TIMEOUT_MS

const STEP_MS = 10
const REVIEW_MS = 50
const MIN_AGENTS = 6
const MAX_AGENTS = 12
const MAX_CARRIED = 4
/** Lines of the trace that a finding shows. */
const TRACE_LENGTH = 25

interface Load {
  readonly agent: Agent
  readonly modelName: string
  readonly begunMs: number
  readonly limit: number
  leftMs: number
}

/** An agent and its engine; the engine goes on when the agent is killed. */
export interface Agent {
  readonly name: string
  readonly wants: Map<string, number>
  readonly held: Set<string>
  load: Load | undefined
  process: TestProcess
  leases: LoadLeases
  stopReviews: () => void
  skewMs: number
  blockedMs: number
}

interface KnownLease {
  readonly owner: string
  readonly modelName: string
  readonly takenMs: number
  readonly expiresMs: number
}

/** A check that failed. */
export interface Finding {
  readonly check: string
  readonly text: string
}

/** A fleet whose weight store divides its bandwidth among all loads, those that were lost included. */
export const createFaultyFleet = (seed: number) => {
  const random = makeRandom(seed)
  const draw = (count: number): number => Math.floor(random() * count)
  const pick = <T>(items: readonly T[]): T => items[draw(items.length)] as T
  const timers = createVirtualTimers(1_000_000)
  const carriedCount = 1 + draw(MAX_CARRIED)
  const loads = new Set<Load>()
  const leasesByKey = new Map<string, KnownLease>()
  const findings: Finding[] = []
  const trace: string[] = []
  const counts = { loads: 0, leases: 0, changes: 0, limit: 1, longestMs: 0, lastFaultMs: -Infinity }

  const note = (text: string): void => { trace.push(`${(timers.nowMs() / 1_000).toFixed(2)} ${text}`) }

  const find = (check: string, text: string): void => {
    note(`${check}: ${text}`)
    if (!findings.some(finding => finding.check === check)) findings.push({ check, text: `seed ${seed}, store carries ${carriedCount}: ${trace.slice(-TRACE_LENGTH).join('; ')}` })
  }

  const inForce = (): readonly KnownLease[] => [...leasesByKey.values()].filter(lease => lease.expiresMs > timers.nowMs())

  // A holder that was killed, stood still or could not renew its lease, and clocks that differ, may let it expire for others while it is in
  // force: that is allowed, as it costs a slowed load. A lost load has no model.
  const isUndisturbed = ({ takenMs }: KnownLease): boolean => takenMs > counts.lastFaultMs + REGAIN_MS

  const checkLease = (key: string, lease: KnownLease): void => {
    if (lease.modelName === '' || !isUndisturbed(lease)) return
    const other = inForce().find(({ owner, modelName }) => modelName === lease.modelName && owner !== lease.owner)
    if (other && isUndisturbed(other) && lease.expiresMs > timers.nowMs()) find('same model', `${key} for ${lease.modelName} beside ${other.owner}`)
  }

  const added = ({ key, value }: NewRecord, calledMs: number, isElsewhere: boolean): void => {
    if (key === LIMIT_KEY) counts.limit = (value && decodeLimit(value)?.fullSpeedCount) ?? counts.limit
    const lease = value && key !== LIMIT_KEY ? decodeLease(value) : undefined
    note(`${key} ${lease ? `${lease.modelName} for ${Math.round(lease.lifetimeMs)} ms, called ${Math.round(calledMs)}` : key === LIMIT_KEY ? counts.limit : 'removed'}`)
    if (!lease) {
      leasesByKey.delete(key)
      return
    }
    // Its writer is told, or sees where it stands, and removes it without loading.
    if (isElsewhere) return
    const { modelName, lifetimeMs } = lease
    const takenMs = leasesByKey.get(key)?.takenMs ?? calledMs
    const known = { owner: key.split('/')[1] ?? '', modelName, takenMs, expiresMs: takenMs + lifetimeMs }
    checkLease(key, known)
    leasesByKey.set(key, known)
    counts.longestMs = Math.max(counts.longestMs, lifetimeMs)
  }

  const feed = createFaultyFeed({ timers, random, added })

  const checkLimit = (): void => {
    const isQuiet = [...loads].every(load => load.begunMs > counts.lastFaultMs + REGAIN_MS)
    const limit = Math.max(...[...loads].map(load => load.limit))
    if (isQuiet && loads.size > limit + 1) find('limit', `${loads.size} loads at limit ${limit}`)
  }

  const beginLoad = (agent: Agent, modelName: string): void => {
    if (agent.load || !agent.wants.has(modelName) || agent.held.has(modelName)) return
    note(`${agent.name} loads ${modelName}${agent.leases.leasedModel() === undefined ? ' without a lease' : ''}`)
    const load = { agent, modelName, begunMs: timers.nowMs(), limit: counts.limit, leftMs: LOAD_MS }
    agent.load = load
    loads.add(load)
    counts.loads += 1
    checkLimit()
  }

  const review = (agent: Agent): void => {
    const wants = agent.load
      ? []
      : [...agent.wants].sort(([, a], [, b]) => b - a).filter(([modelName]) => !agent.held.has(modelName))
          .map(([modelName, waitingCount]) => ({ modelName, waitingCount, coldLoadMs: LOAD_MS }))
    agent.leases.review({ wants, loadingModel: agent.load?.modelName ?? '', isMakingRoom: false, isHeld: modelName => agent.held.has(modelName) })
    const leased = agent.leases.leasedModel()
    if (leased !== '') beginLoad(agent, leased ?? wants[0]?.modelName ?? '')
  }

  const start = (agent: Agent, isFirstStart: boolean): void => {
    const process = createTestProcess(timers, () => agent.skewMs)
    const port = feed.portOf(agent.name, process)
    const leases = createLoadLeases({
      feed: port,
      onRestored: port.onRestored,
      instance: agent.name,
      timers: process.timers,
      events: createEventLog({ instance: agent.name as InstanceName, role: 'agent', timers: process.timers }),
      isFirstStart,
      makeId: () => String(counts.leases++),
      changed: () => { review(agent) }
    })
    Object.assign(agent, { process, leases, blockedMs: 0, stopReviews: process.timers.every(REVIEW_MS, () => { review(agent) }) })
  }

  const agents = Array.from({ length: MIN_AGENTS + draw(MAX_AGENTS - MIN_AGENTS + 1) }, (_, index) => {
    const agent = { name: `agent${index}`, wants: new Map(), held: new Set(), load: undefined, skewMs: 0 } as unknown as Agent
    start(agent, true)
    return agent
  })

  const kill = (agent: Agent): void => {
    agent.process.kill()
    agent.stopReviews()
    agent.leases.stop()
  }

  const endLoad = (load: Load): void => {
    loads.delete(load)
    const { agent, modelName } = load
    if (agent.load !== load) return
    agent.load = undefined
    agent.held.add(modelName)
    note(`${agent.name} holds ${modelName}`)
    for (const other of agents) other.wants.delete(modelName)
  }

  const checkBlocked = (agent: Agent): void => {
    const mode = feed.modeOf(agent.name)
    const isAway = mode === StoreMode.Down || mode === StoreMode.Silent
    const isBlocked = isAway && !agent.load && agent.wants.size > 0 && agent.process.isRunning()
    agent.blockedMs = isBlocked ? agent.blockedMs + STEP_MS : 0
    if (agent.blockedMs === FALLBACK_MS + 1_000) find('fallback', `${agent.name} does not load while the store is ${mode}`)
  }

  const step = async (): Promise<void> => {
    const share = Math.min(1, carriedCount / loads.size)
    for (const load of loads) {
      load.leftMs -= STEP_MS * share
      if (load.leftMs <= 0) endLoad(load)
    }
    for (const agent of agents) checkBlocked(agent)
    timers.advance(STEP_MS)
    await new Promise(resolve => { setImmediate(resolve) })
  }

  const loseEngine = (agent: Agent): void => {
    agent.load = undefined
    agent.held.clear()
  }

  const restart = (agent: Agent): void => {
    kill(agent)
    start(agent, false)
  }

  const pass = async (durationMs: number, isDone = () => false, acts: ReadonlyArray<() => void> = []): Promise<void> => {
    const endMs = timers.nowMs() + durationMs
    while (timers.nowMs() < endMs && !isDone()) {
      for (const act of acts) act()
      await step()
    }
  }
  return { agents, feed, timers, loads, counts, findings, carriedCount, random, draw, pick, pass, find, note, kill, restart, loseEngine, inForce }
}

export type FaultyFleet = ReturnType<typeof createFaultyFleet>
