import { LOST_ORDER_TTL_MS } from './constants.js'

import type { TimerService } from '@figmount/base'
import type { EngineSpec, Order, ServerReport } from '@figmount/fleet'

interface LostOrder {
  readonly order: Order
  readonly serverId: string
  readonly sentMs: number
  /** The order was sent to an earlier start of the engine. */
  readonly isOfEarlierStart: boolean
}

/** Memory and adapter slots for lost orders that may still be carried out. */
export interface ReservedRoom {
  readonly modelsMb: ReadonlyMap<string, number>
  /** Keys of the form `model/adapter`. */
  readonly adapterKeys: ReadonlySet<string>
}

/** Orders that got no answer. An engine may carry them out seconds later. */
export interface LostOrders {
  readonly add: (serverId: string, order: Order, isOfEarlierStart: boolean) => void
  /** To be called after a restart of the engine: its order count begins again, and may reach the count that a lost order expects. */
  readonly noteRestart: () => void
  readonly reserve: (serverId: string, report: ServerReport, spec: EngineSpec) => ReservedRoom
}

/**
 * Guards against an engine that restarts under the same id and then carries out an order lost before the restart: the order
 * names that id, and the order count that it expects may be reached again. Loading its model on top of those that newer orders
 * loaded would exceed the engine's memory and crash it. The engine carries out at most one order at each count. So it is enough
 * to reserve room when the next order would bring the engine to the count that a lost order expects.
 */
export const createLostOrders = (timers: TimerService): LostOrders => {
  let lost: readonly LostOrder[] = []

  const removeExpired = (): void => { lost = lost.filter(({ sentMs }) => timers.nowMs() - sentMs < LOST_ORDER_TTL_MS) }

  /** Orders to earlier starts that may be carried out one after the other, once the engine has accepted one more order. */
  const ordersPossibleAfter = (serverId: string, orderCount: number): readonly Order[] => {
    const candidates = lost.filter(known => known.isOfEarlierStart && known.serverId === serverId).map(({ order }) => order)
    const following: Order[] = []
    for (let count = orderCount + 1; ; count++) {
      const atCount = candidates.filter(order => order.expectedOrderCount === count)
      if (atCount.length === 0) return following
      following.push(...atCount)
    }
  }

  return {
    add: (serverId, order, isOfEarlierStart) => {
      removeExpired()
      lost = [...lost, { order, serverId, sentMs: timers.nowMs(), isOfEarlierStart }]
    },
    noteRestart: () => { lost = lost.map(known => ({ ...known, isOfEarlierStart: true })) },
    reserve: (serverId, report, spec) => {
      removeExpired()
      const modelsMb = new Map<string, number>()
      const adapterKeys = new Set<string>()
      for (const { operation, modelName, adapterName } of ordersPossibleAfter(serverId, report.orderCount)) {
        if (operation === 'unload') continue
        const held = report.models.find(model => model.name === modelName)
        const weightsMb = spec.models.find(model => model.name === modelName)?.weightsMb ?? 0
        if (adapterName === '' && !held) modelsMb.set(modelName, weightsMb)
        if (adapterName !== '' && !held?.adapters.includes(adapterName)) adapterKeys.add(`${modelName}/${adapterName}`)
      }
      return { modelsMb, adapterKeys }
    }
  }
}
