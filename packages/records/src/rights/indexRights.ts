import type { ModelId } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { RightState } from './types.js'

/** All rights of one model or plain service that are in the state, including free ones. */
export interface TargetRights {
  /** By slot index; slots that were never granted are absent. */
  readonly replicas: ReadonlyMap<number, RightState>
  readonly keys: RightState | undefined
}

interface MutableTargetRights {
  readonly replicas: Map<number, RightState>
  keys: RightState | undefined
}

export const noTargetRights: TargetRights = { replicas: new Map(), keys: undefined }

const indexes = new WeakMap<AgreedState['rights'], ReadonlyMap<ModelId, TargetRights>>()

const buildIndex = (rights: AgreedState['rights']): ReadonlyMap<ModelId, TargetRights> => {
  const index = new Map<ModelId, MutableTargetRights>()
  for (const right of rights.values()) {
    const entry = index.get(right.key.target) ?? { replicas: new Map(), keys: undefined }
    if (right.key.kind === 'keys') entry.keys = right
    else entry.replicas.set(right.key.slotIndex, right)
    index.set(right.key.target, entry)
  }
  return index
}

/**
 * Rights by target. The index is cached by the state's collection of rights, so call this only with states
 * that the fold has finished and no longer changes.
 */
export const indexRights = (state: AgreedState): ReadonlyMap<ModelId, TargetRights> => {
  const cached = indexes.get(state.rights)
  if (cached) return cached
  const index = buildIndex(state.rights)
  indexes.set(state.rights, index)
  return index
}
