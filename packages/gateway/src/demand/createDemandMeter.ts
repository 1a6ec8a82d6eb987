import { DEMAND_DECAY_MS, decayDemand } from '@figmount/fleet'

import type { TimerService } from '@figmount/base'
import type { ModelDemand } from '@figmount/fleet'

/** Models below this request rate are reported as having no demand. */
const MIN_REQUESTS_PER_S = 0.01

const MS_PER_S = 1_000

interface ModelMeter {
  readonly requests: number
  readonly promptTokens: number
  readonly asOfMs: number
  readonly lastMs: number
  readonly adapterNames: ReadonlySet<string>
  readonly isNew: boolean
}

/** A model's demand, and whether it was requested since the last read. */
export interface MeteredModel {
  readonly demand: ModelDemand
  readonly isNew: boolean
}

/** Demand by model as one router sees it. */
export interface DemandMeter {
  readonly note: (modelName: string, adapterName: string, promptTokens: number) => void
  /** Requests per second for a model. */
  readonly requestsPerS: (modelName: string) => number
  /** Current demand, with the adapters that were requested since the last read. */
  readonly read: () => readonly MeteredModel[]
}

const decayed = (meter: ModelMeter, nowMs: number): ModelMeter => {
  const factor = decayDemand(nowMs - meter.asOfMs)
  return { ...meter, requests: meter.requests * factor, promptTokens: meter.promptTokens * factor, asOfMs: nowMs }
}

/** Creates the meter of one router. */
export const createDemandMeter = (timers: TimerService): DemandMeter => {
  const meters = new Map<string, ModelMeter>()

  const newMeter = (nowMs: number): ModelMeter =>
    ({ requests: 0, promptTokens: 0, asOfMs: nowMs, lastMs: nowMs, adapterNames: new Set(), isNew: true })

  return {
    note: (modelName, adapterName, promptTokens) => {
      const nowMs = timers.nowMs()
      const meter = decayed(meters.get(modelName) ?? newMeter(nowMs), nowMs)
      meters.set(modelName, {
        ...meter,
        requests: meter.requests + 1,
        promptTokens: meter.promptTokens + promptTokens,
        lastMs: nowMs,
        isNew: true,
        adapterNames: adapterName === '' ? meter.adapterNames : new Set([...meter.adapterNames, adapterName])
      })
    },
    requestsPerS: modelName => {
      const meter = meters.get(modelName)
      return meter ? decayed(meter, timers.nowMs()).requests / DEMAND_DECAY_MS * MS_PER_S : 0
    },
    read: () => {
      const nowMs = timers.nowMs()
      const metered: MeteredModel[] = []
      for (const [modelName, stored] of [...meters]) {
        const meter = decayed(stored, nowMs)
        const requestsPerS = meter.requests / DEMAND_DECAY_MS * MS_PER_S
        if (requestsPerS < MIN_REQUESTS_PER_S) {
          meters.delete(modelName)
          continue
        }
        const promptTokensPerS = meter.promptTokens / DEMAND_DECAY_MS * MS_PER_S
        const demand = { modelName, requestsPerS, promptTokensPerS, idleMs: nowMs - meter.lastMs, adapterNames: [...meter.adapterNames] }
        metered.push({ demand, isNew: meter.isNew })
        meters.set(modelName, { ...meter, adapterNames: new Set(), isNew: false })
      }
      return metered
    }
  }
}
