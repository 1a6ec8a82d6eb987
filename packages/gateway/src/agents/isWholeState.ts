import type { AgentState, HeldModel } from '@figmount/fleet'

const isHeldModel = (model: Partial<HeldModel> | null): boolean => typeof model?.name === 'string' && Array.isArray(model.adapters)

/** True if a state has the lists that each request looks through. An agent of another version, or an odd one, may send others. */
export const isWholeState = (state: Partial<AgentState>): boolean => {
  const lists = [state.goneStarts, state.leavingModels, state.queuedModels, state.inMemory, state.onDisk, state.demandTokensPerS]
  return lists.every(list => Array.isArray(list)) && Array.isArray(state.models) && state.models.every(isHeldModel)
}
