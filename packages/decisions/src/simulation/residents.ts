import type { ModelId } from '@figmount/base'
import type { ChooseVictims, ResidentView } from '../eviction/types.js'
import type { WaitingLoad } from '../loading/types.js'
import type { EventQueue } from './eventQueue.js'
import type { SimulatedModel } from './types.js'
import type { WeightStore } from './weightStore.js'

const PER_HOUR_OF_MS = 3_600_000

interface Resident {
  readonly spec: SimulatedModel
  readonly state: 'loading' | 'ready'
  readonly readyAtMs: number
  readonly lastUsedAtMs: number
  readonly usedCount: number
}

/** Demand at the server for the models in its memory. */
export interface Demand {
  readonly running: (model: ModelId) => number
  readonly load: (spec: SimulatedModel, askedAtMs: number) => WaitingLoad
}

/** Models in the memory of one simulated server. */
export interface Residents {
  readonly isReady: (model: ModelId) => boolean
  readonly stateOf: (model: ModelId) => 'cold' | 'loading' | 'ready'
  readonly readyInMs: (spec: SimulatedModel) => number
  readonly use: (model: ModelId) => void
  /** Starts loading the model unless it is already resident; false when no memory can be freed now. */
  readonly ensureLoading: (spec: SimulatedModel) => boolean
}

/** Creates the memory of one server; `onReady` is called whenever a model becomes ready. */
export const createResidents = (memoryMb: number, events: EventQueue, store: WeightStore, chooseVictims: ChooseVictims, demand: Demand, countColdStart: () => void, onReady: () => void): Residents => {
  const residents = new Map<ModelId, Resident>()
  const usedMb = (): number => [...residents.values()].reduce((sum, one) => sum + one.spec.memoryMb, 0)

  const viewOf = (resident: Resident): ResidentView => {
    const nowMs = events.nowMs()
    const waiting = demand.load(resident.spec, nowMs).waitingCount
    return {
      model: resident.spec.model,
      adapter: '',
      memoryMb: resident.spec.memoryMb,
      runningCount: demand.running(resident.spec.model),
      queuedCount: resident.state === 'loading' ? Math.max(1, waiting) : waiting,
      idleMs: nowMs - resident.lastUsedAtMs,
      reloadMs: resident.spec.loadMs,
      priority: 5,
      requestsPerHour: resident.usedCount * PER_HOUR_OF_MS / Math.max(1, nowMs),
      pinned: false
    }
  }

  const freeMemory = (neededMb: number): boolean => {
    const shortfallMb = usedMb() + neededMb - memoryMb
    if (shortfallMb <= 0) return true
    const victims = chooseVictims([...residents.values()].map(viewOf), shortfallMb)
    for (const victim of victims ?? []) residents.delete(victim.model)
    return victims !== undefined
  }

  const markReady = (spec: SimulatedModel): void => {
    const resident = residents.get(spec.model)
    if (!resident) return
    residents.set(spec.model, { ...resident, state: 'ready', readyAtMs: events.nowMs() })
    onReady()
  }

  const startLoad = (spec: SimulatedModel): void => {
    const askedAtMs = events.nowMs()
    const readyAtMs = askedAtMs + store.waitMs() + spec.loadMs
    residents.set(spec.model, { spec, state: 'loading', readyAtMs, lastUsedAtMs: askedAtMs, usedCount: 0 })
    countColdStart()
    store.ask({
      model: spec.model,
      loadMs: spec.loadMs,
      view: () => demand.load(spec, askedAtMs),
      onLoaded: () => markReady(spec)
    })
  }

  return {
    isReady: model => residents.get(model)?.state === 'ready',
    stateOf: model => residents.get(model)?.state ?? 'cold',
    readyInMs: spec => {
      const resident = residents.get(spec.model)
      if (!resident) return store.waitMs() + spec.loadMs
      return resident.state === 'ready' ? 0 : Math.max(0, resident.readyAtMs - events.nowMs())
    },
    use: model => {
      const resident = residents.get(model)
      if (resident) residents.set(model, { ...resident, lastUsedAtMs: events.nowMs(), usedCount: resident.usedCount + 1 })
    },
    ensureLoading: spec => {
      if (residents.has(spec.model)) return true
      if (!freeMemory(spec.memoryMb)) return false
      if (spec.isWarm && events.nowMs() === 0) {
        residents.set(spec.model, { spec, state: 'ready', readyAtMs: 0, lastUsedAtMs: 0, usedCount: 0 })
        return true
      }
      startLoad(spec)
      return true
    }
  }
}
