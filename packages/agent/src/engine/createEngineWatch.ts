import { runInBackground } from '@figmount/base'
import { AgentEvent } from '../events.js'
import { INVENTORY_MS } from './constants.js'

import type { EventLog, Fault, TimerService } from '@figmount/base'
import type { EngineClient, Inventory } from './types.js'

interface Options {
  readonly engine: EngineClient
  readonly timers: TimerService
  readonly events: EventLog
  /** Called with each inventory and the time at which it was requested. */
  readonly onInventory: (inventory: Inventory, askedAtMs: number) => void
  /** Called once for each incarnation of the engine that has ended. */
  readonly onDeath: (incarnation: string) => void
  readonly onChange: () => void
}

/** The state of the engine process as last observed. */
export interface EngineWatch {
  readonly isUp: () => boolean
  /** The last inventory; undefined before the first. */
  readonly last: () => Inventory | undefined
  readonly reportDeath: (incarnation: string) => void
  readonly reportFault: (fault: Fault) => void
  readonly refresh: () => Promise<void>
  readonly stop: () => void
}

/**
 * Reads the engine's inventory at intervals.
 *
 * Without it, a restart of the engine could go unnoticed and the agent would assume that its models are still loaded.
 * A restart shows as a new incarnation in the inventory.
 */
export const createEngineWatch = ({ engine, timers, events, onInventory, onDeath, onChange }: Options): EngineWatch => {
  let last: Inventory | undefined
  let isUp = false
  let isRefreshing = false
  const deadIncarnations = new Set<string>()

  const reportDeath = (incarnation: string): void => {
    if (incarnation === '' || deadIncarnations.has(incarnation)) return
    deadIncarnations.add(incarnation)
    if (last?.incarnation === incarnation) isUp = false
    events.emit(AgentEvent.engineDied, { peer: engine.address, detail: incarnation })
    onDeath(incarnation)
    onChange()
  }

  const reportFault = (fault: Fault): void => {
    if (!isUp) return
    isUp = false
    events.emit(AgentEvent.engineUnreachable, { peer: fault.peer, step: fault.step, reason: fault.message })
    onChange()
  }

  const acceptInventory = (inventory: Inventory, askedAtMs: number): void => {
    const isNew = last?.incarnation !== inventory.incarnation
    if (last && isNew) reportDeath(last.incarnation)
    last = inventory
    if (isNew) events.emit(AgentEvent.inventoryTaken, { peer: engine.address, detail: inventory.incarnation, count: inventory.residents.length, memoryMb: inventory.memoryUsedMb, memoryCapacityMb: inventory.memoryCapacityMb })
    if (!isUp && !isNew) events.emit(AgentEvent.engineBack, { peer: engine.address })
    isUp = true
    onInventory(inventory, askedAtMs)
    onChange()
  }

  const refresh = async (): Promise<void> => {
    if (isRefreshing) return
    isRefreshing = true
    const askedAtMs = timers.nowMs()
    const answer = await engine.inventory().run()
    isRefreshing = false
    answer.caseOf({ Left: reportFault, Right: inventory => acceptInventory(inventory, askedAtMs) })
  }

  const stop = timers.every(INVENTORY_MS, () => runInBackground(events, 'engine.inventory', refresh()))
  return { isUp: () => isUp, last: () => last, reportDeath, reportFault, refresh, stop }
}
