import type { ModelId } from '@figmount/base'
import type { AgentReport, ModelReport } from '../messages/types.js'

/**
 * Changes within these bounds are not reported, because they would not change the choice of a backend server. The larger of the
 * absolute and the relative bound applies.
 */
const QUEUED_SECONDS_BOUND = 0.05
const RELATIVE_BOUND = 0.1
const READY_MS_BOUND = 250

const isWithinBound = (a: number, b: number, bound: number): boolean =>
  Math.abs(a - b) <= Math.max(bound, Math.max(a, b) * RELATIVE_BOUND)

const isSameModel = (a: ModelReport, b: ModelReport): boolean =>
  a.slotIndex === b.slotIndex && a.fence === b.fence && a.state === b.state && a.version === b.version &&
  a.queuedCount === b.queuedCount && a.runningCount === b.runningCount &&
  isWithinBound(a.readyInMs, b.readyInMs, READY_MS_BOUND) && (a.readyInMs === 0) === (b.readyInMs === 0) &&
  a.adapters.length === b.adapters.length && a.adapters.every((adapter, index) => adapter === b.adapters[index])

const isSameHead = (a: AgentReport, b: AgentReport): boolean =>
  a.draining === b.draining && a.runningCount === b.runningCount && a.queuedCount === b.queuedCount &&
  a.batchSize === b.batchSize && a.memoryCapacityMb === b.memoryCapacityMb && a.memoryUsedMb === b.memoryUsedMb &&
  isWithinBound(a.queuedSeconds, b.queuedSeconds, QUEUED_SECONDS_BOUND) && isWithinBound(a.tokenIntervalMs, b.tokenIntervalMs, 0)

/**
 * Reduces each report on one link to the changes since the last one. The first report is complete, later ones contain only
 * models that changed, and undefined means that nothing changed. A link delivers in order or fails, so both ends always have
 * the same base for the next report.
 */
export const createDeltaReporter = (): ((report: AgentReport) => AgentReport | undefined) => {
  const sentModels = new Map<ModelId, ModelReport>()
  let sentHead: AgentReport | undefined

  return report => {
    const present = new Set(report.models.map(entry => entry.model))
    const goneModels = [...sentModels.keys()].filter(model => !present.has(model))
    const models = report.models.filter(entry => {
      const known = sentModels.get(entry.model)
      return !known || !isSameModel(known, entry)
    })
    const isFirst = !sentHead
    if (sentHead && isSameHead(sentHead, report) && models.length === 0 && goneModels.length === 0) return undefined
    for (const model of goneModels) sentModels.delete(model)
    for (const entry of models) sentModels.set(entry.model, entry)
    sentHead = report
    return isFirst ? report : { ...report, partial: true, models, ...(goneModels.length > 0 ? { goneModels } : {}) }
  }
}
