import { decayDemand } from '@figmount/fleet'

import type { Demand, ModelDemand } from '@figmount/fleet'
import type { TimerService } from '@figmount/base'

/** Demand that decays below this rate is removed. */
const MIN_REQUESTS_PER_S = 0.01

/** Time from the first reported demand after which idle models can be told from busy ones, which are requested several times a second. */
const SETTLING_MS = 4_000

/** Time for which a computed total is cached: planning once for the engine reads each total many times. */
const TOTAL_CACHE_MS = 20

/** Demand for one model, summed over all routers. */
export interface TotalDemand {
  readonly requestsPerS: number
  readonly promptTokensPerS: number
  readonly replicaCount: number
  readonly idleMs: number
  /** At least one router has requests for the model running at this engine. */
  readonly isRunning: boolean
}

/** The demand for a model that a router reported, and the time of the report. */
interface ReportedDemand {
  readonly demand: ModelDemand
  readonly asOfMs: number
}

/** A total over all routers, and the time at which it was computed. */
interface CachedTotal {
  readonly total: TotalDemand
  readonly asOfMs: number
}

interface RouterDemand {
  readonly models: ReadonlyMap<string, ReportedDemand>
  readonly runningModels: ReadonlySet<string>
}

/** Demand reported by routers, summed by model. */
export interface DemandTotals {
  readonly take: (router: string, demand: Demand) => void
  /** Removes the demand of a router whose links have closed. */
  readonly dropRouter: (router: string) => void
  readonly totalFor: (modelName: string) => TotalDemand
  /** Number of engines that hold a model, as last reported by a router; 1 for a model without a report. */
  readonly replicaCount: (modelName: string) => number
  /** Demand has been reported for long enough to identify idle models. */
  readonly isSettled: () => boolean
  readonly adapterIdleMs: (modelName: string, adapterName: string) => number
}

const NO_DEMAND: RouterDemand = { models: new Map(), runningModels: new Set() }

/** Creates the demand totals of one agent. */
export const createDemandTotals = (timers: TimerService): DemandTotals => {
  const routers = new Map<string, RouterDemand>()
  const replicaCounts = new Map<string, number>()
  let firstDemandMs: number | undefined
  const adapterUsedMs = new Map<string, number>()

  const cachedTotals = new Map<string, CachedTotal>()

  const replicaCount = (modelName: string): number => replicaCounts.get(modelName) ?? 1

  const computeTotal = (modelName: string, nowMs: number): TotalDemand => {
    let requestsPerS = 0
    let promptTokensPerS = 0
    let idleMs = Infinity
    let isRunning = false
    for (const { models, runningModels } of routers.values()) {
      isRunning ||= runningModels.has(modelName)
      const reported = models.get(modelName)
      if (!reported) continue
      const elapsedMs = nowMs - reported.asOfMs
      const remainingShare = decayDemand(elapsedMs)
      requestsPerS += reported.demand.requestsPerS * remainingShare
      promptTokensPerS += reported.demand.promptTokensPerS * remainingShare
      idleMs = Math.min(idleMs, reported.demand.idleMs + elapsedMs)
    }
    return { requestsPerS, promptTokensPerS, replicaCount: replicaCount(modelName), idleMs, isRunning }
  }

  return {
    take: (router, { models, replicas, runningModels }) => {
      cachedTotals.clear()
      const asOfMs = timers.nowMs()
      if (models.length > 0) firstDemandMs ??= asOfMs
      for (const { modelName, replicaCount } of replicas) replicaCounts.set(modelName, replicaCount)
      const known = routers.get(router) ?? NO_DEMAND
      const reported = new Map(known.models)
      for (const [modelName, { demand, asOfMs: reportedMs }] of reported) {
        if (demand.requestsPerS * decayDemand(asOfMs - reportedMs) < MIN_REQUESTS_PER_S) reported.delete(modelName)
      }
      for (const demand of models) reported.set(demand.modelName, { demand, asOfMs })
      routers.set(router, { models: reported, runningModels: runningModels ? new Set(runningModels) : known.runningModels })
      for (const model of models) {
        for (const adapterName of model.adapterNames) adapterUsedMs.set(`${model.modelName}/${adapterName}`, asOfMs)
      }
    },
    dropRouter: router => {
      cachedTotals.clear()
      routers.delete(router)
    },
    totalFor: modelName => {
      const nowMs = timers.nowMs()
      const cached = cachedTotals.get(modelName)
      if (cached && nowMs - cached.asOfMs < TOTAL_CACHE_MS) return cached.total
      const total = computeTotal(modelName, nowMs)
      cachedTotals.set(modelName, { total, asOfMs: nowMs })
      return total
    },
    replicaCount,
    isSettled: () => firstDemandMs !== undefined && timers.nowMs() - firstDemandMs > SETTLING_MS,
    adapterIdleMs: (modelName, adapterName) => timers.nowMs() - (adapterUsedMs.get(`${modelName}/${adapterName}`) ?? -Infinity)
  }
}
