import { STRAY_MS } from './constants.js'

import type { TimerService } from '@figmount/base'
import type { EngineSpec, Order, ServerReport } from '@figmount/fleet'

interface LostOrder {
  readonly order: Order
  readonly serverId: string
  readonly sentMs: number
  /** It was sent to a start of the engine before this one. */
  readonly isOfBefore: boolean
}

/** Room that orders take which may still be carried out. */
export interface Reserve {
  readonly modelsMb: ReadonlyMap<string, number>
  /** As `model/adapter`. */
  readonly adapterKeys: ReadonlySet<string>
}

/** Orders without an answer, which an engine may carry out seconds later. */
export interface LostOrders {
  readonly note: (serverId: string, order: Order, isOfBefore: boolean) => void
  /** The engine has started again: its counts start anew, and orders of before may match them once more. */
  readonly noteRestart: () => void
  readonly reserve: (serverId: string, report: ServerReport, spec: EngineSpec) => Reserve
}

/**
 * Guards against an engine that restarts under its id and then carries out an order that was lost before: the order names the
 * same id, and the count that it expects may be reached again. Loaded on top of what newer orders brought, the model would be
 * more than the engine holds, and the engine would crash. One order at most is carried out at each count, so it is enough
 * that the order which brings the engine to such a count leaves room for what may follow there.
 */
export const createLostOrders = (timers: TimerService): LostOrders => {
  let lost: readonly LostOrder[] = []

  const trim = (): void => { lost = lost.filter(({ sentMs }) => timers.nowMs() - sentMs < STRAY_MS) }

  /** Orders of before that may be carried out one after the other, once the engine has taken one more. */
  const straysAfter = (serverId: string, orderCount: number): readonly Order[] => {
    const strays = lost.filter(known => known.isOfBefore && known.serverId === serverId).map(({ order }) => order)
    const following: Order[] = []
    for (let count = orderCount + 1; ; count++) {
      const atCount = strays.filter(order => order.expectedOrderCount === count)
      if (atCount.length === 0) return following
      following.push(...atCount)
    }
  }

  return {
    note: (serverId, order, isOfBefore) => {
      trim()
      lost = [...lost, { order, serverId, sentMs: timers.nowMs(), isOfBefore }]
    },
    noteRestart: () => { lost = lost.map(known => ({ ...known, isOfBefore: true })) },
    reserve: (serverId, report, spec) => {
      trim()
      const modelsMb = new Map<string, number>()
      const adapterKeys = new Set<string>()
      for (const { operation, modelName, adapterName } of straysAfter(serverId, report.orderCount)) {
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
