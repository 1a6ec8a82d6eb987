import type { ModelId } from '@figmount/base'
import type { AgentReport, ModelReport } from '../messages/types.js'

/** Changes below these bounds are not worth a report: they would not change a choice of backend server. */
const QUEUED_SECONDS_BOUND = 0.05
const RELATIVE_BOUND = 0.1
const READY_MS_BOUND = 250

const isNear = (a: number, b: number, bound: number): boolean =>
  Math.abs(a - b) <= Math.max(bound, Math.max(a, b) * RELATIVE_BOUND)

const isSameModel = (a: ModelReport, b: ModelReport): boolean =>
  a.slotIndex === b.slotIndex && a.fence === b.fence && a.state === b.state && a.version === b.version &&
  a.queuedCount === b.queuedCount && a.runningCount === b.runningCount &&
  isNear(a.readyInMs, b.readyInMs, READY_MS_BOUND) && (a.readyInMs === 0) === (b.readyInMs === 0) &&
  a.adapters.length === b.adapters.length && a.adapters.every((adapter, index) => adapter === b.adapters[index])

const isSameHead = (a: AgentReport, b: AgentReport): boolean =>
  a.draining === b.draining && a.runningCount === b.runningCount && a.queuedCount === b.queuedCount &&
  a.batchSize === b.batchSize && a.memoryCapacityMb === b.memoryCapacityMb && a.memoryUsedMb === b.memoryUsedMb &&
  isNear(a.queuedSeconds, b.queuedSeconds, QUEUED_SECONDS_BOUND) && isNear(a.tokenIntervalMs, b.tokenIntervalMs, 0)

/**
 * Leaves out of each report on one link what the peer knows already. The first report is whole;
 * later ones carry the models that changed, and undefined says that nothing did. A link delivers
 * in order or breaks, so both ends always agree on what is known.
 */
export const createReportThinner = (): ((report: AgentReport) => AgentReport | undefined) => {
  const told = new Map<ModelId, ModelReport>()
  let toldHead: AgentReport | undefined

  return report => {
    const present = new Set(report.models.map(entry => entry.model))
    const goneModels = [...told.keys()].filter(model => !present.has(model))
    const models = report.models.filter(entry => {
      const known = told.get(entry.model)
      return !known || !isSameModel(known, entry)
    })
    const isFirst = !toldHead
    if (toldHead && isSameHead(toldHead, report) && models.length === 0 && goneModels.length === 0) return undefined
    for (const model of goneModels) told.delete(model)
    for (const entry of models) told.set(entry.model, entry)
    toldHead = report
    return isFirst ? report : { ...report, partial: true, models, ...(goneModels.length > 0 ? { goneModels } : {}) }
  }
}
