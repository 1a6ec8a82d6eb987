import { decayDemand } from '@figmount/fleet'

import type { Demand, ModelDemand } from '@figmount/fleet'
import type { TimerService } from '@figmount/base'

/** Demand below this many requests a second is forgotten. */
const LEAST_REQUESTS_PER_S = 0.01

/** Demand heard of for this long tells busy models from idle ones: a busy one is asked for several times a second. */
const SETTLE_MS = 4_000

/** Sums that an agent has made are good for this long: one look at its engine takes many of each. */
const FRESH_MS = 20

/** Demand for one model over all routers. */
export interface TotalDemand {
  readonly requestsPerS: number
  readonly promptTokensPerS: number
  readonly replicaCount: number
  readonly idleMs: number
  /** Some router has requests for it running at this engine. */
  readonly isRunning: boolean
}

/** What a router said of a model, and when. */
interface SaidDemand {
  readonly demand: ModelDemand
  readonly asOfMs: number
}

/** A sum over all routers, and when it was made. */
interface SummedDemand {
  readonly total: TotalDemand
  readonly asOfMs: number
}

interface RouterDemand {
  readonly models: ReadonlyMap<string, SaidDemand>
  readonly runningModels: ReadonlySet<string>
}

/** Demand as the routers tell it, added up. */
export interface DemandBook {
  readonly take: (router: string, demand: Demand) => void
  /** The link to a router was lost. */
  readonly dropRouter: (router: string) => void
  readonly totalFor: (modelName: string) => TotalDemand
  /** Engines that hold a model, as routers tell. */
  readonly replicaCount: (modelName: string) => number
  /** Demand has been heard of for long enough to know what is idle. */
  readonly isSettled: () => boolean
  readonly adapterIdleMs: (modelName: string, adapterName: string) => number
}

const NO_DEMAND: RouterDemand = { models: new Map(), runningModels: new Set() }

/** Makes the demand book of one agent. */
export const createDemandBook = (timers: TimerService): DemandBook => {
  const routers = new Map<string, RouterDemand>()
  const replicaCounts = new Map<string, number>()
  let firstDemandMs: number | undefined
  const adapterUsedMs = new Map<string, number>()

  const sums = new Map<string, SummedDemand>()

  const replicaCount = (modelName: string): number => replicaCounts.get(modelName) ?? 1

  const sumUp = (modelName: string, nowMs: number): TotalDemand => {
    let requestsPerS = 0
    let promptTokensPerS = 0
    let idleMs = Infinity
    let isRunning = false
    for (const { models, runningModels } of routers.values()) {
      isRunning ||= runningModels.has(modelName)
      const said = models.get(modelName)
      if (!said) continue
      const elapsedMs = nowMs - said.asOfMs
      const left = decayDemand(elapsedMs)
      requestsPerS += said.demand.requestsPerS * left
      promptTokensPerS += said.demand.promptTokensPerS * left
      idleMs = Math.min(idleMs, said.demand.idleMs + elapsedMs)
    }
    return { requestsPerS, promptTokensPerS, replicaCount: replicaCount(modelName), idleMs, isRunning }
  }

  return {
    take: (router, { models, replicas, runningModels }) => {
      sums.clear()
      const asOfMs = timers.nowMs()
      if (models.length > 0) firstDemandMs ??= asOfMs
      for (const { modelName, replicaCount } of replicas) replicaCounts.set(modelName, replicaCount)
      const known = routers.get(router) ?? NO_DEMAND
      const said = new Map(known.models)
      for (const [modelName, { demand, asOfMs: saidMs }] of said) {
        if (demand.requestsPerS * decayDemand(asOfMs - saidMs) < LEAST_REQUESTS_PER_S) said.delete(modelName)
      }
      for (const demand of models) said.set(demand.modelName, { demand, asOfMs })
      routers.set(router, { models: said, runningModels: runningModels ? new Set(runningModels) : known.runningModels })
      for (const model of models) {
        for (const adapterName of model.adapterNames) adapterUsedMs.set(`${model.modelName}/${adapterName}`, asOfMs)
      }
    },
    dropRouter: router => {
      sums.clear()
      routers.delete(router)
    },
    totalFor: modelName => {
      const nowMs = timers.nowMs()
      const known = sums.get(modelName)
      if (known && nowMs - known.asOfMs < FRESH_MS) return known.total
      const total = sumUp(modelName, nowMs)
      sums.set(modelName, { total, asOfMs: nowMs })
      return total
    },
    replicaCount,
    isSettled: () => firstDemandMs !== undefined && timers.nowMs() - firstDemandMs > SETTLE_MS,
    adapterIdleMs: (modelName, adapterName) => timers.nowMs() - (adapterUsedMs.get(`${modelName}/${adapterName}`) ?? -Infinity)
  }
}
