import { expectedLoadMs, idleForMs } from '../loading/slots.js'

import type { ModelId } from '@figmount/base'
import type { ResidentView } from '@figmount/decisions'
import type { Demand, EngineState, Slot } from '../loading/types.js'

const MS_PER_HOUR = 3_600_000

interface Options {
  readonly state: EngineState
  readonly demandOf: (model: ModelId) => Demand | undefined
  readonly isPinned: (model: ModelId) => boolean
  readonly nowMs: number
}

/** Uses per hour from the mean of past gaps; one a day if there are none. */
const requestsPerHour = (slot: Slot): number => {
  if (slot.pastGapsMs.length === 0) return 1 / 24
  const sumMs = slot.pastGapsMs.reduce((sum, gapMs) => sum + gapMs, 0)
  return MS_PER_HOUR * slot.pastGapsMs.length / Math.max(1, sumMs)
}

/** Resident models and adapters without an open order, as input for the eviction decision. A model's memory excludes its adapters. */
export const viewResidents = ({ state, demandOf, isPinned, nowMs }: Options): readonly ResidentView[] => {
  const views: ResidentView[] = []
  for (const slot of state.slots.values()) {
    if (slot.phase !== 'ready' || slot.openOrder) continue
    const demand = demandOf(slot.model)
    const shared = {
      model: slot.model,
      reloadMs: expectedLoadMs(state, slot),
      priority: demand?.highestPriority ?? 0,
      requestsPerHour: requestsPerHour(slot)
    }
    for (const adapter of slot.adapters.values()) {
      if (adapter.phase !== 'ready') continue
      views.push({
        ...shared,
        adapter: adapter.adapter,
        memoryMb: adapter.memoryMb,
        runningCount: demand?.runningAdapters.has(adapter.adapter) ? 1 : 0,
        queuedCount: demand?.wantedAdapters.has(adapter.adapter) ? 1 : 0,
        idleMs: nowMs - adapter.lastUsedMs,
        pinned: false
      })
    }
    views.push({
      ...shared,
      adapter: '',
      memoryMb: slot.memoryMb,
      runningCount: demand?.runningCount ?? 0,
      queuedCount: demand?.waitingCount ?? 0,
      idleMs: idleForMs(slot, nowMs),
      pinned: isPinned(slot.model)
    })
  }
  return views
}
