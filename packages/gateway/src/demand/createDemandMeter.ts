import type { TimerService } from '@figmount/base'
import type { ModelDemand } from '@figmount/fleet'

/** Memory of the meter: demand that moves within 5 s is followed, and a pause of a second is not taken for its end. */
const TIME_CONSTANT_MS = 4_000

/** Models with less than this many requests a second have no demand to tell of. */
const LEAST_REQUESTS_PER_S = 0.01

const MS_PER_S = 1_000

interface ModelMeter {
  readonly requests: number
  readonly promptTokens: number
  readonly asOfMs: number
  readonly lastMs: number
  readonly adapterNames: ReadonlySet<string>
}

/** Demand by model as one router sees it. */
export interface DemandMeter {
  readonly note: (modelName: string, adapterName: string, promptTokens: number) => void
  /** Requests a second for a model. */
  readonly requestsPerS: (modelName: string) => number
  /** Demand now, and the adapters asked for since the last call. */
  readonly read: (replicaCount: (modelName: string) => number) => readonly ModelDemand[]
}

const decayed = (meter: ModelMeter, nowMs: number): ModelMeter => {
  const factor = Math.exp(-(nowMs - meter.asOfMs) / TIME_CONSTANT_MS)
  return { ...meter, requests: meter.requests * factor, promptTokens: meter.promptTokens * factor, asOfMs: nowMs }
}

/** Makes the meter of one router. */
export const createDemandMeter = (timers: TimerService): DemandMeter => {
  const meters = new Map<string, ModelMeter>()

  const fresh = (nowMs: number): ModelMeter =>
    ({ requests: 0, promptTokens: 0, asOfMs: nowMs, lastMs: nowMs, adapterNames: new Set() })

  return {
    note: (modelName, adapterName, promptTokens) => {
      const nowMs = timers.nowMs()
      const meter = decayed(meters.get(modelName) ?? fresh(nowMs), nowMs)
      meters.set(modelName, {
        ...meter,
        requests: meter.requests + 1,
        promptTokens: meter.promptTokens + promptTokens,
        lastMs: nowMs,
        adapterNames: adapterName === '' ? meter.adapterNames : new Set([...meter.adapterNames, adapterName])
      })
    },
    requestsPerS: modelName => {
      const meter = meters.get(modelName)
      return meter ? decayed(meter, timers.nowMs()).requests / TIME_CONSTANT_MS * MS_PER_S : 0
    },
    read: replicaCount => {
      const nowMs = timers.nowMs()
      const demands: ModelDemand[] = []
      for (const [modelName, stored] of [...meters]) {
        const meter = decayed(stored, nowMs)
        const requestsPerS = meter.requests / TIME_CONSTANT_MS * MS_PER_S
        if (requestsPerS < LEAST_REQUESTS_PER_S) {
          meters.delete(modelName)
          continue
        }
        meters.set(modelName, { ...meter, adapterNames: new Set() })
        demands.push({
          modelName,
          requestsPerS,
          promptTokensPerS: meter.promptTokens / TIME_CONSTANT_MS * MS_PER_S,
          replicaCount: replicaCount(modelName),
          idleMs: nowMs - meter.lastMs,
          adapterNames: [...meter.adapterNames]
        })
      }
      return demands
    }
  }
}
