import { expectedLoadMs, idleForMs } from '../loading/slots.js'

import type { IdleView } from '@figmount/decisions'
import type { ModelPlan, Slot } from '../loading/types.js'

/** An idle model as the choice of its stay sees it. */
export const viewIdle = (slot: Slot, plan: ModelPlan, capacityMb: number, memoryPressure: number, nowMs: number): IdleView => ({
  idleMs: idleForMs(slot, nowMs),
  pastGapsMs: slot.pastGapsMs,
  reloadMs: expectedLoadMs(slot),
  memoryShare: capacityMb > 0 ? slot.memoryMb / capacityMb : 0,
  idleCostWeight: plan.idleCostWeight,
  memoryPressure
})
