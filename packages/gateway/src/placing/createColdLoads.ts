import { initialPace, notePace } from '@figmount/decisions'

import type { TimerService } from '@figmount/base'
import type { StorePace } from '@figmount/decisions'
import type { AgentState } from '@figmount/fleet'

/** An agent reports a load that was requested from it within this time. */
const UNCONFIRMED_MS = 600

interface RunningLoad {
  readonly modelName: string
  readonly beganMs: number
  /** Loads in progress when it started, including itself. */
  readonly concurrentCount: number
}

/** Loads from the weight store over all engines, as one router sees them. */
export interface ColdLoads {
  readonly takeState: (address: string, state: AgentState) => void
  readonly lose: (address: string) => void
  /** A load was requested from an agent that has not reported its start yet. */
  readonly noteRequested: (address: string) => void
  /** Loads that are in progress or about to start. */
  readonly count: () => number
  /** Loads that may be in progress at a time. */
  readonly limit: () => number
  /** Time until the engine at this address may begin a load of this duration, which may be waiting there. */
  readonly waitMs: (address: string, coldLoadMs: number) => number
}

/** The engine loads from the weight store, or will as soon as its agent has a lease. Wants that it cannot carry out do not count. */
const isPending = (state: AgentState): boolean => state.isLoadingCold || state.nextColdModel !== ''

/** Tracks the loads from the weight store; `fullSpeedMsOf` is the time that a model's load takes without others. */
export const createColdLoads = (timers: TimerService, fullSpeedMsOf: (modelName: string) => number | undefined): ColdLoads => {
  const pending = new Set<string>()
  const requestedMs = new Map<string, number>()
  const running = new Map<string, RunningLoad>()
  let pace: StorePace = initialPace

  const updatePace = (load: RunningLoad, hasEnded: boolean): void => {
    const nowMs = timers.nowMs()
    const fullSpeedMs = fullSpeedMsOf(load.modelName)
    if (fullSpeedMs === undefined) return
    pace = notePace(pace, { fullSpeedMs, tookMs: nowMs - load.beganMs, concurrentCount: load.concurrentCount, hasEnded }, nowMs)
  }

  // Guards against a load that is mistaken for proof of spare capacity: the store slows a load by those in progress when it started, so
  // the first of two takes no longer than alone. If it counted as one of two concurrent loads, routers would start ever more loads at a
  // store that carries one. Agents' messages may arrive out of order, so an older load may be reported after a newer one.
  const noteBegun = (address: string, modelName: string, beganMs: number): void => {
    let concurrentCount = 1
    for (const [other, load] of running) {
      if (load.beganMs <= beganMs) concurrentCount += 1
      if (load.beganMs >= beganMs) running.set(other, { ...load, concurrentCount: load.concurrentCount + 1 })
    }
    running.set(address, { modelName, beganMs, concurrentCount })
  }

  const count = (): number => {
    const nowMs = timers.nowMs()
    let total = pending.size
    for (const [address, atMs] of [...requestedMs]) {
      if (pending.has(address) || nowMs - atMs > UNCONFIRMED_MS) requestedMs.delete(address)
      else total += 1
    }
    return total
  }

  const limit = (): number => {
    for (const load of running.values()) updatePace(load, false)
    return pace.fullSpeedCount
  }

  const leftMsOf = ({ modelName, beganMs, concurrentCount }: RunningLoad): number => {
    const slowdown = Math.max(1, concurrentCount / pace.fullSpeedCount)
    return Math.max(0, beganMs + (fullSpeedMsOf(modelName) ?? 0) * slowdown - timers.nowMs())
  }

  const waitMs = (address: string, coldLoadMs: number): number => {
    const others = [...running].filter(([other]) => other !== address).map(([, load]) => load)
    const ownCount = Number(pending.has(address) || requestedMs.has(address))
    const queuedCount = Math.max(0, count() - ownCount - others.length)
    const freeCount = limit() - others.length
    if (queuedCount < freeCount) return 0
    const turnMs = coldLoadMs / pace.fullSpeedCount
    if (freeCount > 0) return (queuedCount - freeCount + 1) * turnMs
    return Math.min(...others.map(leftMsOf)) + queuedCount * turnMs
  }

  return {
    takeState: (address, state) => {
      if (isPending(state)) pending.add(address)
      else pending.delete(address)
      const known = running.get(address)
      if (known && known.modelName !== state.loadingModel) {
        running.delete(address)
        if (state.models.some(model => model.name === known.modelName)) updatePace(known, true)
      }
      if (!state.isLoadingCold || state.loadingForMs === 0 || running.has(address)) return
      noteBegun(address, state.loadingModel, timers.nowMs() - state.loadingForMs)
    },
    lose: address => {
      pending.delete(address)
      running.delete(address)
    },
    noteRequested: address => { requestedMs.set(address, timers.nowMs()) },
    count,
    limit,
    waitMs
  }
}
