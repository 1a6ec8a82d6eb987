import { isEarlierStart, isSameStart } from '@figmount/fleet'

import type { AgentLoad, AgentState, ServerStart } from '@figmount/fleet'

/** What an agent has reported of its engine. */
export interface AgentReport {
  readonly state: AgentState | undefined
  readonly load: AgentLoad | undefined
  readonly stateAsOfMs: number
  readonly lastMessageMs: number
}

/** Stands for the report of an agent that has sent none. */
export const NO_REPORT: AgentReport = { state: undefined, load: undefined, stateAsOfMs: -Infinity, lastMessageMs: -Infinity }

/**
 * The report is older than the list's entry and shows no restart. The agent sees its engine's starts in order, whatever the engine's clock
 * says: a start that it reports as gone is no later than the one that it reports as current.
 */
export const isStaleReport = (state: AgentState, start: ServerStart): boolean =>
  isEarlierStart(state, start) && !state.goneStarts.some(gone => isSameStart(gone, start))

/** A start is gone by this report; one that the agent reports as current is not, even if an earlier one under the same id is. */
export const isGone = ({ state }: AgentReport, start: ServerStart): boolean => {
  if (!state || state.serverId === start.serverId) return false
  if (state.serverId !== '') return true
  for (const gone of state.goneStarts) {
    if (isSameStart(gone, start) || isEarlierStart(start, gone)) return true
  }
  return false
}
