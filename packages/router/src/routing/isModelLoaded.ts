import type { ModelId } from '@figmount/base'
import type { AgentReport } from '@figmount/peers'

const LOADED_STATES: ReadonlySet<string> = new Set(['loading', 'ready', 'unloading'])

/** True if a report lists a model as loading, ready or unloading; false without a report. */
export const isModelLoaded = (report: AgentReport | undefined, target: ModelId): boolean =>
  report?.models.some(model => model.model === target && LOADED_STATES.has(model.state)) ?? false
