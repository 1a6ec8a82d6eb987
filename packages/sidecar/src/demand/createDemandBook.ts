import type { ModelDemand } from '@figmount/fleet'
import type { TimerService } from '@figmount/base'

/** A router that says nothing for this long has gone: it sends its demand twice a second while there is any. */
const STALE_MS = 3_000

/** Demand for one model over all routers. */
export interface TotalDemand {
  readonly requestsPerS: number
  readonly promptTokensPerS: number
  readonly replicaCount: number
  readonly idleMs: number
}

interface RouterDemand {
  readonly models: ReadonlyMap<string, ModelDemand>
  readonly asOfMs: number
}

/** Demand as the routers tell it, added up. */
export interface DemandBook {
  readonly take: (router: string, models: readonly ModelDemand[]) => void
  readonly totalFor: (modelName: string) => TotalDemand
  readonly adapterIdleMs: (modelName: string, adapterName: string) => number
}

/** Makes the demand book of one agent. */
export const createDemandBook = (timers: TimerService): DemandBook => {
  const routers = new Map<string, RouterDemand>()
  const adapterUsedMs = new Map<string, number>()

  return {
    take: (router, models) => {
      const asOfMs = timers.nowMs()
      routers.set(router, { models: new Map(models.map(model => [model.modelName, model])), asOfMs })
      for (const model of models) {
        for (const adapterName of model.adapterNames) adapterUsedMs.set(`${model.modelName}/${adapterName}`, asOfMs)
      }
    },
    totalFor: modelName => {
      const nowMs = timers.nowMs()
      let total: TotalDemand = { requestsPerS: 0, promptTokensPerS: 0, replicaCount: 0, idleMs: Infinity }
      for (const { models, asOfMs } of routers.values()) {
        const demand = models.get(modelName)
        if (!demand || nowMs - asOfMs > STALE_MS) continue
        total = {
          requestsPerS: total.requestsPerS + demand.requestsPerS,
          promptTokensPerS: total.promptTokensPerS + demand.promptTokensPerS,
          replicaCount: Math.max(total.replicaCount, demand.replicaCount),
          idleMs: Math.min(total.idleMs, demand.idleMs + nowMs - asOfMs)
        }
      }
      return total
    },
    adapterIdleMs: (modelName, adapterName) => timers.nowMs() - (adapterUsedMs.get(`${modelName}/${adapterName}`) ?? -Infinity)
  }
}
