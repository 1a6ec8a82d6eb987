import { createVirtualTimers, runInBackground } from '@figmount/base'

import { createLeaseFeed } from '../../../sidecar/src/testing/createLeaseFeed.js'
import { createTestAgent } from './createTestAgent.js'
import { createTestEngine, createTestStore } from './createTestEngine.js'
import { createTestRouter } from './createTestRouter.js'

import type { VirtualTimers } from '@figmount/base'
import type { EngineSpec } from '@figmount/fleet'
import type { TestAgent } from './createTestAgent.js'
import type { StoreLoad, TestEngine } from './createTestEngine.js'
import type { TestRouter } from './createTestRouter.js'

/** Delay of a message unless a test holds it up. */
const MESSAGE_MS = 5

/** Step in which time passes; promises settle after each. */
const STEP_MS = 5

/** What an engine holds and has copies of at the start. */
export interface EngineContent {
  readonly held?: readonly string[]
  readonly onDisk?: readonly string[]
}

interface Options {
  readonly spec: EngineSpec
  readonly engines: Readonly<Record<string, EngineContent>>
  readonly routerNames: readonly string[]
  /** Routers review the replicas four times a second, each of them at every turn. */
  readonly reviewsReplicas?: boolean
  readonly promptTokens?: number
}

/** A refused or served request. */
export interface Answer {
  readonly modelName: string
  readonly atMs: number
  readonly outcome: string
}

/** Agents, engines and routers with the real decisions in virtual time. */
export interface TestFleet {
  readonly timers: VirtualTimers
  readonly router: (name: string) => TestRouter
  readonly agent: (name: string) => TestAgent
  readonly addEngine: (name: string, content: EngineContent) => void
  /** The engine takes no more orders and will exit. */
  readonly drainEngine: (name: string) => void
  /** The engine exits and leaves the list, its copies with it. */
  readonly removeEngine: (name: string) => void
  /** Messages from one process to another take this long from now on; Infinity loses them. */
  readonly delay: (from: string, to: string, delayMs: number) => void
  /** A caller asks at a router; its answer appears in `answers`. */
  readonly ask: (routerName: string, modelName: string, patienceMs: number) => void
  /** Callers ask at the routers in turn until the returned function is called. */
  readonly askEvery: (periodMs: number, modelName: string, patienceMs: number) => () => void
  readonly answers: () => readonly Answer[]
  readonly loads: () => readonly StoreLoad[]
  /** Time at which the model's first load from the store begins; Infinity if none does. */
  readonly beginOf: (modelName: string) => number
  readonly pass: (durationMs: number) => Promise<void>
  /** All processes lose power and start again; disks keep their copies. */
  readonly cyclePower: (offMs: number) => Promise<void>
}

export const createTestFleet = ({ spec, engines: contents, routerNames, reviewsReplicas = false, promptTokens = 10 }: Options): TestFleet => {
  const timers = createVirtualTimers()
  const store = createTestStore(timers)
  const leaseFeed = createLeaseFeed(timers)
  const engines = new Map<string, TestEngine>()
  const agents = new Map<string, TestAgent>()
  const routers = new Map<string, TestRouter>()
  const delaysMs = new Map<string, number>()
  const answers: Answer[] = []
  let powerCount = 0
  let leaseCount = 0

  const deliver = (from: string, to: string, take: () => void): void => {
    const delayMs = delaysMs.get(`${from}/${to}`) ?? MESSAGE_MS
    if (delayMs === Infinity) return
    const sentAtPower = powerCount
    timers.after(delayMs, () => { if (sentAtPower === powerCount) take() })
  }

  const startAgent = (engine: TestEngine, isFirstStart: boolean): void => {
    agents.set(engine.name, createTestAgent({
      engine,
      timers,
      spec,
      leaseFeed,
      makeId: () => String(leaseCount++),
      isFirstStart,
      routerCount: routerNames.length,
      sendToAll: message => {
        for (const name of routerNames) deliver(engine.name, name, () => { routers.get(name)?.take(engine.name, message) })
      },
      sendTo: (name, message) => { deliver(engine.name, name, () => { routers.get(name)?.take(engine.name, message) }) }
    }))
  }

  const startRouter = (name: string, isFirstStart: boolean): void => {
    const router = createTestRouter({
      name,
      timers,
      spec,
      routerCount: routerNames.length,
      promptTokens,
      reviewsReplicas,
      isFirstStart,
      send: (address, message) => { deliver(name, address, () => { agents.get(address)?.take(name, message) }) }
    })
    routers.set(name, router)
    for (const address of engines.keys()) router.list(address, true)
  }

  const addEngine = (name: string, { held = [], onDisk = [] }: EngineContent): void => {
    const engine = createTestEngine({ name, timers, store, spec, held, onDisk })
    engines.set(name, engine)
    startAgent(engine, true)
    for (const router of routers.values()) router.list(name, true)
  }

  for (const [name, content] of Object.entries(contents)) addEngine(name, content)
  for (const name of routerNames) startRouter(name, true)

  const pass = async (durationMs: number): Promise<void> => {
    const untilMs = timers.nowMs() + durationMs
    while (timers.nowMs() < untilMs) {
      timers.advance(Math.min(STEP_MS, untilMs - timers.nowMs()))
      await new Promise(resolve => { setImmediate(resolve) })
    }
  }

  const ask = (routerName: string, modelName: string, patienceMs: number): void => {
    const router = routers.get(routerName)
    if (!router) return
    runInBackground(router.events, 'test.ask', router.ask(modelName, patienceMs).then(outcome => {
      answers.push({ modelName, atMs: timers.nowMs(), outcome })
    }))
  }

  const find = <T>(known: ReadonlyMap<string, T>, name: string): T => {
    const value = known.get(name)
    if (!value) throw new Error(`${name} does not run`)
    return value
  }

  return {
    timers,
    router: name => find(routers, name),
    agent: name => find(agents, name),
    addEngine,
    drainEngine: name => { find(engines, name).drain() },
    removeEngine: name => {
      find(agents, name).stop()
      find(engines, name).setPower(false)
      agents.delete(name)
      engines.delete(name)
      for (const router of routers.values()) router.list(name, false)
    },
    delay: (from, to, delayMs) => { delaysMs.set(`${from}/${to}`, delayMs) },
    ask,
    askEvery: (periodMs, modelName, patienceMs) => {
      let turn = 0
      return timers.every(periodMs, () => { ask(routerNames[turn++ % routerNames.length] ?? '', modelName, patienceMs) })
    },
    answers: () => answers,
    loads: store.loads,
    beginOf: modelName => store.loads().find(load => load.modelName === modelName)?.beganMs ?? Infinity,
    pass,
    cyclePower: async offMs => {
      powerCount += 1
      for (const router of routers.values()) router.stop()
      for (const agent of agents.values()) agent.stop()
      for (const engine of engines.values()) engine.setPower(false)
      routers.clear()
      agents.clear()
      await pass(offMs)
      for (const engine of engines.values()) {
        engine.setPower(true)
        startAgent(engine, false)
      }
      for (const name of routerNames) startRouter(name, false)
    }
  }
}
