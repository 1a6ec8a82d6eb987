import { SimulationConstants } from './constants.js'

import type { ModelId } from '@figmount/base'
import type { OrderLoads, WaitingLoad } from '../loading/types.js'
import type { EventQueue } from './eventQueue.js'

/** A load that waits for the store; `view` is evaluated whenever the next load is chosen. */
export interface LoadRequest {
  readonly model: ModelId
  readonly loadMs: number
  readonly view: () => WaitingLoad
  readonly onLoaded: () => void
}

/** The weight store, which limits concurrent loads and the rate at which loads start. */
export interface WeightStore {
  readonly ask: (ticket: LoadRequest) => void
  /** Expected wait until a load can start. */
  readonly waitMs: () => number
}

/**
 * Creates a store that serves waiting loads in the order of `orderLoads`, as if all agents shared one queue.
 * `simulateStoreRush.ts` measures how close agents come to that order without a central queue.
 */
export const createWeightStore = (events: EventQueue, orderLoads: OrderLoads): WeightStore => {
  let waiting: readonly LoadRequest[] = []
  let runningCount = 0
  let nextStartMs = 0
  let isTimerSet = false

  const firstInOrder = (): LoadRequest | undefined => {
    const views = new Map(waiting.map(ticket => [ticket.view(), ticket]))
    const first = orderLoads([...views.keys()], events.nowMs())[0]
    return first && views.get(first)
  }

  const finish = (ticket: LoadRequest): void => {
    runningCount -= 1
    ticket.onLoaded()
    startNext()
  }

  const startAt = (atMs: number): void => {
    if (isTimerSet) return
    isTimerSet = true
    events.at(atMs, () => { isTimerSet = false; startNext() })
  }

  const startNext = (): void => {
    if (runningCount >= SimulationConstants.storeConcurrency || waiting.length === 0) return
    if (events.nowMs() < nextStartMs) return startAt(nextStartMs)
    const ticket = firstInOrder()
    if (!ticket) return
    waiting = waiting.filter(one => one !== ticket)
    runningCount += 1
    nextStartMs = events.nowMs() + 1_000 / SimulationConstants.storeLoadsPerSecond
    events.at(events.nowMs() + ticket.loadMs, () => finish(ticket))
    startNext()
  }

  return {
    ask: ticket => {
      waiting = [...waiting, ticket]
      startNext()
    },
    waitMs: () => {
      if (runningCount < SimulationConstants.storeConcurrency) return 0
      const loadMs = waiting.reduce((sum, ticket) => sum + ticket.loadMs, 0)
      return loadMs / SimulationConstants.storeConcurrency
    }
  }
}
