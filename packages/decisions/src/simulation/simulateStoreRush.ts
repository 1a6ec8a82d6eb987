import { makeRandom } from './makeRandom.js'

import type { ChooseLoadBackoff, LoadPaceView } from '../loading/backOff.js'

/** The load that one agent needs from the weight store. */
export interface RushLoad {
  readonly waitingCount: number
  readonly priority: number
  readonly loadMs: number
}

/** How agents access the weight store. */
export interface RushStrategy {
  /** Wait before the first attempt; none when omitted. */
  readonly firstWait?: ChooseLoadBackoff
  /** Wait after a refusal. */
  readonly backOff: ChooseLoadBackoff
  /** Maximum concurrent loads of a fleet with a central queue, which agents without coordination cannot enforce; unlimited when omitted. */
  readonly centralLimit?: number
}

/** Results of a burst of loads. */
export interface RushMeasures {
  /** Mean wait over callers rather than loads. */
  readonly meanCallerWaitMs: number
  readonly p99CallerWaitMs: number
  /** End of the last load. */
  readonly endMs: number
  readonly refusedCount: number
}

interface RushState {
  readonly load: RushLoad
  askAtMs: number
  refusedCount: number
  isRunning: boolean
  leftMs: number
  endMs?: number
}

const STEP_MS = 20
const MAX_DURATION_MS = 3_600_000
const FULL_SPEED_COUNT = 4
const LOADS_PER_SECOND = 2

const viewOf = (state: RushState, nowMs: number): LoadPaceView => ({
  waitingCount: state.load.waitingCount,
  highestPriority: state.load.priority,
  refusedCount: state.refusedCount,
  waitedMs: nowMs,
  loadMs: state.load.loadMs
})

/**
 * Simulates agents that all need the weight store at the same moment. The store refuses loads above its rate limit and divides
 * its bandwidth once more than four loads run.
 */
export const simulateStoreRush = (loads: readonly RushLoad[], strategy: RushStrategy, seed = 1): RushMeasures => {
  const random = makeRandom(seed)
  const states: readonly RushState[] = loads.map(load => ({ load, askAtMs: 0, refusedCount: 0, isRunning: false, leftMs: load.loadMs }))
  for (const state of states) state.askAtMs = strategy.firstWait?.(viewOf(state, 0), random) ?? 0
  let tokens: number = LOADS_PER_SECOND
  let refusedCount = 0
  let nowMs = 0

  const requestLoad = (state: RushState, runningCount: number): void => {
    if (runningCount >= (strategy.centralLimit ?? Infinity)) return
    if (tokens >= 1) {
      tokens -= 1
      state.isRunning = true
      return
    }
    refusedCount += 1
    state.refusedCount += 1
    state.askAtMs = nowMs + strategy.backOff(viewOf(state, nowMs), random)
  }

  const step = (): void => {
    tokens = Math.min(LOADS_PER_SECOND, tokens + LOADS_PER_SECOND * STEP_MS / 1_000)
    const due = states.filter(state => !state.isRunning && state.endMs === undefined && state.askAtMs <= nowMs)
    for (const state of [...due].sort((a, b) => a.askAtMs - b.askAtMs)) requestLoad(state, states.filter(one => one.isRunning).length)
    const running = states.filter(state => state.isRunning)
    const speed = Math.min(1, FULL_SPEED_COUNT / Math.max(1, running.length))
    for (const state of running) {
      state.leftMs -= STEP_MS * speed
      if (state.leftMs > 0) continue
      state.isRunning = false
      state.endMs = nowMs
    }
  }

  for (; nowMs < MAX_DURATION_MS && states.some(state => state.endMs === undefined); nowMs += STEP_MS) step()
  const waits = states.flatMap(state => Array.from({ length: state.load.waitingCount }, () => state.endMs ?? MAX_DURATION_MS)).sort((a, b) => a - b)
  return {
    meanCallerWaitMs: Math.round(waits.reduce((sum, wait) => sum + wait, 0) / waits.length),
    p99CallerWaitMs: waits[Math.ceil(waits.length * 0.99) - 1] ?? 0,
    endMs: nowMs,
    refusedCount
  }
}

/** Forty agents start a load at once: two loads with forty callers each, six with eight, and the rest with one. */
export const shiftStart = (): readonly RushLoad[] => Array.from({ length: 40 }, (_, index) => ({
  waitingCount: index % 20 === 13 ? 40 : index % 7 === 3 ? 8 : 1,
  priority: 5,
  loadMs: 15_000
}))
