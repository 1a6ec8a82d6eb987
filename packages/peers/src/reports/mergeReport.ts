import type { AgentReport } from '../messages/types.js'

/** Merges a partial report into the last known one; a complete report replaces it. */
export const mergeReport = (known: AgentReport | undefined, report: AgentReport): AgentReport => {
  if (!report.partial || !known) return report
  const replaced = new Set([...report.models.map(entry => entry.model), ...(report.goneModels ?? [])])
  const { partial, goneModels, ...head } = report
  return { ...head, models: [...known.models.filter(entry => !replaced.has(entry.model)), ...report.models] }
}
