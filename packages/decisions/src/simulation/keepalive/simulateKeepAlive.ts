import { SimulationConstants } from '../constants.js'
import { createEventQueue } from '../eventQueue.js'

import { createStoreClock } from './storeClock.js'

import type { IdleView } from '../../keepalive/types.js'
import type { ResidentView } from '../../eviction/types.js'
import type { Deployment, Item, KeepMeasures, KeepPolicies, Use } from './types.js'

const HOUR_MS = 3_600_000
/** Number of gaps that an agent stores per model. */
const MAX_GAPS = 32
/** Time after which a load that found no free memory is tried again. */
const MEMORY_RETRY_MS = 1_000
const MS_PER_DAY = 24 * HOUR_MS

/** Mutable state of one model or adapter during a run. */
interface ItemState {
  readonly item: Item
  readonly uses: readonly number[]
  nextUse: number
  isLoaded: boolean
  readyAtMs: number
  busyUntilMs: number
  idleFromMs: number
  gapsMs: readonly number[]
  version: number
}

const percentile = (sorted: readonly number[], share: number): number =>
  Math.round(sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? 0)

/** Simulates keep-alive, preloading and eviction for a site's uses in virtual time; uses wait only for loads. */
export const simulateKeepAlive = (deployment: Deployment, policies: KeepPolicies): KeepMeasures => {
  const events = createEventQueue()
  const store = createStoreClock(deployment.storeLoadsPerSecond, SimulationConstants.storeConcurrency)
  const waitsMs: number[] = []
  let idleMs = 0
  let loadCount = 0

  const makeState = (item: Item, uses: readonly Use[]): ItemState => ({
    item, uses: uses.map(use => use.atMs), nextUse: 0, isLoaded: false, readyAtMs: 0, busyUntilMs: 0, idleFromMs: 0, gapsMs: [], version: 0
  })
  const models = deployment.models.map((item, index) => makeState(item, deployment.uses.filter(use => use.modelIndex === index)))
  const adapters = deployment.adapters.map((item, index) => makeState(item, deployment.uses.filter(use => use.adapterIndex === index)))
  const residentsOf = (runner: number): readonly ItemState[] => [...models, ...adapters].filter(one => one.item.runner === runner && one.isLoaded)

  const shareOf = (state: ItemState): number => state.item.memoryMb / deployment.runnerMemoryMb
  const countIdle = (state: ItemState): void => {
    const fromMs = Math.max(state.idleFromMs, deployment.measuredFromMs)
    if (state.isLoaded) idleMs += Math.max(0, events.nowMs() - fromMs) * shareOf(state)
  }

  const idleView = (state: ItemState): IdleView => ({
    // Measured from the last use, even if the model was loaded ahead of the next one.
    idleMs: Math.max(0, events.nowMs() - state.busyUntilMs),
    pastGapsMs: state.gapsMs,
    reloadMs: state.item.loadMs,
    memoryShare: shareOf(state),
    idleCostWeight: policies.idleCostWeight
  })

  const residentView = (state: ItemState): ResidentView => {
    const view = idleView(state)
    const spanMs = state.gapsMs.reduce((sum, gap) => sum + gap, view.idleMs)
    return {
      model: state.item.model,
      adapter: state.item.adapter,
      memoryMb: state.item.memoryMb,
      runningCount: state.busyUntilMs > events.nowMs() || state.readyAtMs > events.nowMs() ? 1 : 0,
      queuedCount: 0,
      idleMs: view.idleMs,
      reloadMs: view.reloadMs,
      priority: 5,
      requestsPerHour: spanMs === 0 ? 0 : state.gapsMs.length * HOUR_MS / spanMs,
      pinned: false
    }
  }

  const unload = (state: ItemState): void => {
    countIdle(state)
    state.isLoaded = false
    state.version += 1
    for (const adapter of state.item.adapter === '' ? adapters : []) {
      if (adapter.item.model === state.item.model && adapter.isLoaded) unload(adapter)
    }
  }

  const freeMemory = (item: Item): boolean => {
    const residents = residentsOf(item.runner)
    const usedMb = residents.reduce((sum, one) => sum + one.item.memoryMb, 0)
    const shortfallMb = usedMb + item.memoryMb - deployment.runnerMemoryMb
    if (shortfallMb <= 0) return true
    const victims = policies.chooseVictims(residents.map(residentView), shortfallMb)
    for (const victim of victims ?? []) {
      const state = residents.find(one => one.item.model === victim.model && one.item.adapter === victim.adapter)
      if (state?.isLoaded) unload(state)
    }
    return victims !== undefined
  }

  /** Starts loading; false when no memory can be freed now. */
  const load = (state: ItemState): boolean => {
    if (!freeMemory(state.item)) return false
    state.isLoaded = true
    state.version += 1
    state.readyAtMs = store.reserve(events.nowMs(), state.item.loadMs)
    state.idleFromMs = state.readyAtMs
    loadCount += 1
    return true
  }

  const modelOf = (state: ItemState): ItemState => models.find(one => one.item.model === state.item.model) ?? state

  const preload = (state: ItemState, version: number): void => {
    if (state.isLoaded || state.version !== version || !modelOf(state).isLoaded) return
    if (load(state)) scheduleDecision(state)
  }

  const unloadIdle = (state: ItemState): void => {
    const delayMs = policies.planPreload(idleView(state))
    unload(state)
    const { version } = state
    if (delayMs === undefined) return
    events.at(events.nowMs() + delayMs, () => {
      if (state.item.adapter !== '') return preload(state, version)
      if (!state.isLoaded && state.version === version && load(state)) scheduleDecision(state)
    })
  }

  const decideKeep = (state: ItemState, version: number): void => {
    if (!state.isLoaded || state.version !== version) return
    if (events.nowMs() < state.busyUntilMs) return
    const nextAtMs = state.uses[state.nextUse] ?? Infinity
    const keepMs = policies.keep(idleView(state), nextAtMs - events.nowMs())
    const hasBusyAdapter = state.item.adapter === '' && adapters.some(one => one.item.model === state.item.model && one.busyUntilMs > events.nowMs())
    if (keepMs <= 0 && !hasBusyAdapter) return unloadIdle(state)
    events.at(events.nowMs() + Math.max(keepMs, MEMORY_RETRY_MS), () => decideKeep(state, version))
  }

  const scheduleDecision = (state: ItemState): void => {
    const { version } = state
    events.at(Math.max(state.readyAtMs, state.busyUntilMs), () => decideKeep(state, version))
  }

  const recordGap = (state: ItemState, nowMs: number): void => {
    // Gaps start at the end of a use; overlapping uses form one burst.
    if (state.nextUse > 0 && nowMs > state.busyUntilMs) {
      state.gapsMs = [...state.gapsMs, nowMs - state.busyUntilMs].slice(-MAX_GAPS)
    }
    state.nextUse += 1
  }

  const markBusy = (state: ItemState, fromMs: number, busyMs: number): void => {
    if (state.isLoaded && state.busyUntilMs < events.nowMs() && state.idleFromMs < events.nowMs()) countIdle(state)
    state.busyUntilMs = Math.max(state.busyUntilMs, fromMs + busyMs)
    state.idleFromMs = state.busyUntilMs
    state.version += 1
    scheduleDecision(state)
  }

  const serveUse = (states: readonly ItemState[], use: Use): void => {
    const nowMs = events.nowMs()
    for (const state of states) {
      if (state.isLoaded || load(state)) {
        // Busy while it loads, so that nothing that a waiting use needs is evicted.
        state.busyUntilMs = Math.max(state.busyUntilMs, state.readyAtMs)
        continue
      }
      events.at(nowMs + MEMORY_RETRY_MS, () => serveUse(states, use))
      return
    }
    const readyAtMs = Math.max(nowMs, ...states.map(state => state.readyAtMs))
    if (use.atMs >= deployment.measuredFromMs) waitsMs.push(readyAtMs - use.atMs)
    for (const state of states) markBusy(state, readyAtMs, use.busyMs)
  }

  for (const use of deployment.uses) {
    events.at(use.atMs, () => {
      const adapter = use.adapterIndex === undefined ? undefined : adapters[use.adapterIndex]
      const states = [models[use.modelIndex]!, ...adapter ? [adapter] : []]
      for (const state of states) recordGap(state, use.atMs)
      serveUse(states, use)
    })
  }
  events.runUntil(deployment.durationMs)
  for (const state of [...models, ...adapters]) if (state.busyUntilMs < events.nowMs()) countIdle(state)

  const sorted = [...waitsMs].sort((a, b) => a - b)
  const days = (deployment.durationMs - deployment.measuredFromMs) / MS_PER_DAY
  return {
    useCount: sorted.length,
    coldCount: sorted.filter(wait => wait > 0).length,
    p95WaitMs: percentile(sorted, 0.95),
    p99WaitMs: percentile(sorted, 0.99),
    p999WaitMs: percentile(sorted, 0.999),
    meanWaitMs: Math.round(sorted.reduce((sum, wait) => sum + wait, 0) / sorted.length),
    idleHoursPerDay: idleMs / HOUR_MS / days,
    loadCount
  }
}
