import { SimulationFacts } from './constants.js'

import type { ModelId } from '@figmount/base'
import type { OrderLoads, WaitingLoad } from '../loading/types.js'
import type { EventQueue } from './eventQueue.js'

/** A load that asks for its turn; `view` is read when a place falls free. */
export interface StoreTicket {
  readonly model: ModelId
  readonly loadMs: number
  readonly view: () => WaitingLoad
  readonly onLoaded: () => void
}

/** The rate-limited weight store: some loads at once, some starts a second. */
export interface WeightStore {
  readonly ask: (ticket: StoreTicket) => void
  /** Expected wait for a place. */
  readonly waitMs: () => number
}

/**
 * Makes a store that serves waiting loads in the order of `orderLoads`, as if all agents shared one queue. How close
 * agents come to that order without a central queue is measured in `simulateStoreRush.ts`.
 */
export const createWeightStore = (events: EventQueue, orderLoads: OrderLoads): WeightStore => {
  let waiting: readonly StoreTicket[] = []
  let runningCount = 0
  let nextStartMs = 0
  let isArmed = false

  const firstInOrder = (): StoreTicket | undefined => {
    const views = new Map(waiting.map(ticket => [ticket.view(), ticket]))
    const first = orderLoads([...views.keys()], events.nowMs())[0]
    return first && views.get(first)
  }

  const finish = (ticket: StoreTicket): void => {
    runningCount -= 1
    ticket.onLoaded()
    startNext()
  }

  const armAt = (atMs: number): void => {
    if (isArmed) return
    isArmed = true
    events.at(atMs, () => { isArmed = false; startNext() })
  }

  const startNext = (): void => {
    if (runningCount >= SimulationFacts.storeConcurrency || waiting.length === 0) return
    if (events.nowMs() < nextStartMs) return armAt(nextStartMs)
    const ticket = firstInOrder()
    if (!ticket) return
    waiting = waiting.filter(one => one !== ticket)
    runningCount += 1
    nextStartMs = events.nowMs() + 1_000 / SimulationFacts.storeLoadsPerSecond
    events.at(events.nowMs() + ticket.loadMs, () => finish(ticket))
    startNext()
  }

  return {
    ask: ticket => {
      waiting = [...waiting, ticket]
      startNext()
    },
    waitMs: () => {
      if (runningCount < SimulationFacts.storeConcurrency) return 0
      const loadMs = waiting.reduce((sum, ticket) => sum + ticket.loadMs, 0)
      return loadMs / SimulationFacts.storeConcurrency
    }
  }
}
