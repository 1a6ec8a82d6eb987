import { ORDER_DEADLINE_MS } from '@figmount/records'

import { ORDER_SETTLE_MS } from './constants.js'

import type { EngineOrder, Inventory } from '../engine/types.js'

/** What an inventory tells of an order. */
export type OrderJudgement = 'done' | 'notDone' | 'open'

const judgeAbsence = (order: EngineOrder, inventory: Inventory): OrderJudgement => {
  const resident = inventory.residents.find(({ model }) => model === order.model)
  switch (order.kind) {
    case 'load':
      if (!resident || resident.version !== order.version) return 'notDone'
      return resident.state === 'ready' ? 'done' : 'open'
    case 'unload':
      return resident ? 'notDone' : 'done'
    case 'loadAdapter':
      return resident?.adapters.some(({ adapter }) => adapter === order.adapter) ? 'done' : 'notDone'
    case 'unloadAdapter':
      return resident?.adapters.some(({ adapter }) => adapter === order.adapter) ? 'notDone' : 'done'
    default:
      return order satisfies never
  }
}

/**
 * Judges an order by an inventory that was asked for at `askedAtMs`.
 *
 * Guards against an order whose answer was lost or is late: taken as failed, its memory would be given away
 * while the engine still loads. That the engine shows no effect counts only after the order's own
 * deadline, from which on the engine must not start it, and time for its way there.
 */
export const judgeOrder = (order: EngineOrder, sentAtMs: number, inventory: Inventory, askedAtMs: number): OrderJudgement => {
  const judged = judgeAbsence(order, inventory)
  if (judged !== 'notDone') return judged
  return askedAtMs - sentAtMs >= ORDER_DEADLINE_MS + ORDER_SETTLE_MS ? 'notDone' : 'open'
}
