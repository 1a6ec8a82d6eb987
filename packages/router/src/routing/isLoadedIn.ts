import type { ModelId } from '@figmount/base'
import type { AgentReport } from '@figmount/peers'

const LOADED: ReadonlySet<string> = new Set(['loading', 'ready', 'unloading'])

/** Whether a report shows a model in accelerator memory or on its way there; false without a report. */
export const isLoadedIn = (report: AgentReport | undefined, target: ModelId): boolean =>
  report?.models.some(model => model.model === target && LOADED.has(model.state)) ?? false
