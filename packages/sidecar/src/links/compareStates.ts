import { EVICTION_LOSS_STEP, ROOM_STEP_MS } from './constants.js'

import type { AgentState } from '@figmount/fleet'

type StateFields = Omit<AgentState, 'type'>
type FieldName = keyof StateFields

/** Fields that change all the time: routers count the times down themselves, and small steps affect no decision. */
type VolatileFields = Pick<StateFields, 'loadingLeftMs' | 'loadingForMs' | 'coldWaitMs' | 'roomMs' | 'evictionLoss' | 'demandTokensPerS'>

/** The volatile fields of a state, which are part of each message about it. */
export const volatileFieldsOf = ({ loadingLeftMs, loadingForMs, coldWaitMs, roomMs, evictionLoss, demandTokensPerS }: AgentState): VolatileFields =>
  ({ loadingLeftMs, loadingForMs, coldWaitMs, roomMs, evictionLoss, demandTokensPerS })

/** The state without differences too small for a message. */
const roundState = (state: AgentState): StateFields => ({
  ...state,
  loadingLeftMs: 0,
  loadingForMs: Math.sign(state.loadingForMs),
  coldWaitMs: 0,
  roomMs: Math.round(state.roomMs / ROOM_STEP_MS),
  evictionLoss: Math.round(state.evictionLoss / EVICTION_LOSS_STEP),
  demandTokensPerS: []
})

/** Serializes each field of the rounded state for comparison. */
export const serializeFields = (state: AgentState): ReadonlyMap<string, string> =>
  new Map(Object.entries(roundState(state)).map(([name, value]) => [name, JSON.stringify(value)]))

/** Names of the fields whose values differ. */
export const changedFields = (before: ReadonlyMap<string, string>, now: ReadonlyMap<string, string>): readonly string[] => {
  const changed: string[] = []
  for (const [name, text] of now) {
    if (before.get(name) !== text) changed.push(name)
  }
  return changed
}

/** The named fields of a state. */
export const pickFields = (state: AgentState, names: readonly string[]): Partial<StateFields> =>
  Object.fromEntries(names.map(name => [name, state[name as FieldName]]))
