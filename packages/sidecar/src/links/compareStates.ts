import { LOSS_STEP, ROOM_STEP_MS } from './constants.js'

import type { AgentState } from '@figmount/fleet'

type StateFields = Omit<AgentState, 'type'>
type FieldName = keyof StateFields

/** Figures that change all the while: routers count times down by themselves, and small steps decide nothing. */
type Figures = Pick<StateFields, 'loadingLeftMs' | 'loadingForMs' | 'coldWaitMs' | 'roomMs' | 'evictionLoss' | 'demandTokensPerS'>

/** The figures of a state, which go with each message about it. */
export const figuresOf = ({ loadingLeftMs, loadingForMs, coldWaitMs, roomMs, evictionLoss, demandTokensPerS }: AgentState): Figures =>
  ({ loadingLeftMs, loadingForMs, coldWaitMs, roomMs, evictionLoss, demandTokensPerS })

/** A state without what is not worth a message. */
const roundState = (state: AgentState): StateFields => ({
  ...state,
  loadingLeftMs: 0,
  loadingForMs: Math.sign(state.loadingForMs),
  coldWaitMs: 0,
  roomMs: Math.round(state.roomMs / ROOM_STEP_MS),
  evictionLoss: Math.round(state.evictionLoss / LOSS_STEP),
  demandTokensPerS: []
})

/** Each field as a text to compare by. */
export const textsOf = (state: AgentState): ReadonlyMap<string, string> =>
  new Map(Object.entries(roundState(state)).map(([name, value]) => [name, JSON.stringify(value)]))

/** Names of the fields that differ. */
export const changedFields = (before: ReadonlyMap<string, string>, now: ReadonlyMap<string, string>): readonly string[] => {
  const changed: string[] = []
  for (const [name, text] of now) {
    if (before.get(name) !== text) changed.push(name)
  }
  return changed
}

/** Some fields of a state. */
export const pickFields = (state: AgentState, names: readonly string[]): Partial<StateFields> =>
  Object.fromEntries(names.map(name => [name, state[name as FieldName]]))
