import { makeRandom } from './makeRandom.js'

import type { ChooseLoadBackoff, LoadPaceView } from '../loading/pace.js'

/** One agent's load in a rush. */
export interface RushLoad {
  readonly waitingCount: number
  readonly priority: number
  readonly loadMs: number
}

/** How the agents go about it. */
export interface RushWay {
  /** Wait before the first ask; none when left out. */
  readonly firstWait?: ChooseLoadBackoff
  /** Wait after being turned away. */
  readonly backOff: ChooseLoadBackoff
  /** Loads that the fleet starts at most beside each other, as an order without agreement cannot know; unlimited when left out. */
  readonly centralLimit?: number
}

/** What callers see of a rush. */
export interface RushMeasures {
  /** Mean wait over callers, not loads. */
  readonly meanCallerWaitMs: number
  readonly p99CallerWaitMs: number
  /** When the last load ended. */
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
const LONGEST_MS = 3_600_000
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
 * Lets all agents want the weight store at one moment. The store turns away what goes over its rate and shares its
 * speed among more than four loads.
 */
export const simulateStoreRush = (loads: readonly RushLoad[], way: RushWay, seed = 1): RushMeasures => {
  const random = makeRandom(seed)
  const states: readonly RushState[] = loads.map(load => ({ load, askAtMs: 0, refusedCount: 0, isRunning: false, leftMs: load.loadMs }))
  for (const state of states) state.askAtMs = way.firstWait?.(viewOf(state, 0), random) ?? 0
  let tokens: number = LOADS_PER_SECOND
  let refusedCount = 0
  let nowMs = 0

  const ask = (state: RushState, runningCount: number): void => {
    if (runningCount >= (way.centralLimit ?? Infinity)) return
    if (tokens >= 1) {
      tokens -= 1
      state.isRunning = true
      return
    }
    refusedCount += 1
    state.refusedCount += 1
    state.askAtMs = nowMs + way.backOff(viewOf(state, nowMs), random)
  }

  const step = (): void => {
    tokens = Math.min(LOADS_PER_SECOND, tokens + LOADS_PER_SECOND * STEP_MS / 1_000)
    const due = states.filter(state => !state.isRunning && state.endMs === undefined && state.askAtMs <= nowMs)
    for (const state of [...due].sort((a, b) => a.askAtMs - b.askAtMs)) ask(state, states.filter(one => one.isRunning).length)
    const running = states.filter(state => state.isRunning)
    const speed = Math.min(1, FULL_SPEED_COUNT / Math.max(1, running.length))
    for (const state of running) {
      state.leftMs -= STEP_MS * speed
      if (state.leftMs > 0) continue
      state.isRunning = false
      state.endMs = nowMs
    }
  }

  for (; nowMs < LONGEST_MS && states.some(state => state.endMs === undefined); nowMs += STEP_MS) step()
  const waits = states.flatMap(state => Array.from({ length: state.load.waitingCount }, () => state.endMs ?? LONGEST_MS)).sort((a, b) => a - b)
  return {
    meanCallerWaitMs: Math.round(waits.reduce((sum, wait) => sum + wait, 0) / waits.length),
    p99CallerWaitMs: waits[Math.ceil(waits.length * 0.99) - 1] ?? 0,
    endMs: nowMs,
    refusedCount
  }
}

/** Forty agents wake up: two loads with forty callers each, six with eight, the rest with one. */
export const shiftStart = (): readonly RushLoad[] => Array.from({ length: 40 }, (_, index) => ({
  waitingCount: index % 20 === 13 ? 40 : index % 7 === 3 ? 8 : 1,
  priority: 5,
  loadMs: 15_000
}))
