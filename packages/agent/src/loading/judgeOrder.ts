import { ORDER_DEADLINE_MS } from '@figmount/records'

import { ORDER_SETTLE_MS } from './constants.js'

import type { EngineOrder, Inventory } from '../engine/types.js'

/** The state of an order according to an inventory. */
export type OrderJudgement = 'done' | 'notDone' | 'open'

const judgeEffect = (order: EngineOrder, inventory: Inventory): OrderJudgement => {
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
 * Evaluates an order against an inventory requested at `askedAtMs`.
 *
 * The answer to an order can be lost or late. If the order were treated as failed, its memory would be reserved for
 * another model while the engine still loads. A missing effect therefore counts only after the order's own deadline,
 * past which the engine must not start it, plus the transfer time.
 */
export const judgeOrder = (order: EngineOrder, sentAtMs: number, inventory: Inventory, askedAtMs: number): OrderJudgement => {
  const judged = judgeEffect(order, inventory)
  if (judged !== 'notDone') return judged
  return askedAtMs - sentAtMs >= ORDER_DEADLINE_MS + ORDER_SETTLE_MS ? 'notDone' : 'open'
}
