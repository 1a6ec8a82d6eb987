import { expectedLoadMs, idleForMs } from '../loading/slots.js'

import type { IdleView } from '@figmount/decisions'
import type { EngineState, ModelPlan, Slot } from '../loading/types.js'

/** An idle model as input for the keep-alive decision. */
export const viewIdle = (state: EngineState, slot: Slot, plan: ModelPlan, memoryPressure: number, nowMs: number): IdleView => ({
  idleMs: idleForMs(slot, nowMs),
  pastGapsMs: slot.pastGapsMs,
  reloadMs: expectedLoadMs(state, slot),
  memoryShare: state.ledger.capacityMb > 0 ? slot.memoryMb / state.ledger.capacityMb : 0,
  idleCostWeight: plan.idleCostWeight,
  memoryPressure
})
