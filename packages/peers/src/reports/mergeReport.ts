import type { AgentReport } from '../messages/types.js'

/** Joins a report that carries only what changed with what was known before; a whole report stands alone. */
export const mergeReport = (known: AgentReport | undefined, report: AgentReport): AgentReport => {
  if (!report.partial || !known) return report
  const left = new Set([...report.models.map(entry => entry.model), ...(report.goneModels ?? [])])
  const { partial, goneModels, ...head } = report
  return { ...head, models: [...known.models.filter(entry => !left.has(entry.model)), ...report.models] }
}
