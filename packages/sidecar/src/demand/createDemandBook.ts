import type { Demand, ModelDemand } from '@figmount/fleet'
import type { TimerService } from '@figmount/base'

/** A router that says nothing for this long has gone: it sends its demand twice a second while there is any. */
const STALE_MS = 3_000

/** Demand heard of for this long tells busy models from idle ones: a busy one is asked for several times a second. */
const SETTLE_MS = 4_000

/** Demand for one model over all routers. */
export interface TotalDemand {
  readonly requestsPerS: number
  readonly promptTokensPerS: number
  readonly replicaCount: number
  readonly idleMs: number
  /** Some router has requests for it running at this engine. */
  readonly isRunning: boolean
}

interface RouterDemand {
  readonly models: ReadonlyMap<string, ModelDemand>
  readonly runningModels: ReadonlySet<string>
  readonly asOfMs: number
}

/** Demand as the routers tell it, added up. */
export interface DemandBook {
  readonly take: (router: string, demand: Demand) => void
  readonly totalFor: (modelName: string) => TotalDemand
  /** Demand has been heard of for long enough to know what is idle. */
  readonly isSettled: () => boolean
  readonly adapterIdleMs: (modelName: string, adapterName: string) => number
}

/** Makes the demand book of one agent. */
export const createDemandBook = (timers: TimerService): DemandBook => {
  const routers = new Map<string, RouterDemand>()
  let replicaCounts: ReadonlyMap<string, number> = new Map()
  let firstDemandMs: number | undefined
  const adapterUsedMs = new Map<string, number>()

  return {
    take: (router, { models, replicas, runningModels }) => {
      const asOfMs = timers.nowMs()
      if (models.length > 0) firstDemandMs ??= asOfMs
      replicaCounts = new Map(replicas.map(({ modelName, replicaCount }) => [modelName, replicaCount]))
      routers.set(router, { models: new Map(models.map(model => [model.modelName, model])), runningModels: new Set(runningModels), asOfMs })
      for (const model of models) {
        for (const adapterName of model.adapterNames) adapterUsedMs.set(`${model.modelName}/${adapterName}`, asOfMs)
      }
    },
    totalFor: modelName => {
      const nowMs = timers.nowMs()
      let total: TotalDemand = { requestsPerS: 0, promptTokensPerS: 0, replicaCount: replicaCounts.get(modelName) ?? 1, idleMs: Infinity, isRunning: false }
      for (const { models, runningModels, asOfMs } of routers.values()) {
        if (nowMs - asOfMs > STALE_MS) continue
        if (runningModels.has(modelName)) total = { ...total, isRunning: true }
        const demand = models.get(modelName)
        if (!demand) continue
        total = {
          ...total,
          requestsPerS: total.requestsPerS + demand.requestsPerS,
          promptTokensPerS: total.promptTokensPerS + demand.promptTokensPerS,
          replicaCount: Math.max(total.replicaCount, demand.replicaCount),
          idleMs: Math.min(total.idleMs, demand.idleMs + nowMs - asOfMs)
        }
      }
      return total
    },
    isSettled: () => firstDemandMs !== undefined && timers.nowMs() - firstDemandMs > SETTLE_MS,
    adapterIdleMs: (modelName, adapterName) => timers.nowMs() - (adapterUsedMs.get(`${modelName}/${adapterName}`) ?? -Infinity)
  }
}
