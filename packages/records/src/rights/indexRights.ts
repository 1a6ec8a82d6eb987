import type { ModelId } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { RightState } from './types.js'

/** All rights of one model or plain service that the state knows, free ones included. */
export interface TargetRights {
  /** By slot index; slots that were never granted are missing. */
  readonly replicas: ReadonlyMap<number, RightState>
  readonly keys: RightState | undefined
}

interface Growing {
  readonly replicas: Map<number, RightState>
  keys: RightState | undefined
}

export const noTargetRights: TargetRights = { replicas: new Map(), keys: undefined }

const indexes = new WeakMap<AgreedState['rights'], ReadonlyMap<ModelId, TargetRights>>()

const buildIndex = (rights: AgreedState['rights']): ReadonlyMap<ModelId, TargetRights> => {
  const index = new Map<ModelId, Growing>()
  for (const right of rights.values()) {
    const entry = index.get(right.key.target) ?? { replicas: new Map(), keys: undefined }
    if (right.key.kind === 'keys') entry.keys = right
    else entry.replicas.set(right.key.slotIndex, right)
    index.set(right.key.target, entry)
  }
  return index
}

/**
 * Rights by their target. Built once for each state in which rights changed; only for states that
 * the fold has finished, whose collections no longer change.
 */
export const indexRights = (state: AgreedState): ReadonlyMap<ModelId, TargetRights> => {
  const known = indexes.get(state.rights)
  if (known) return known
  const made = buildIndex(state.rights)
  indexes.set(state.rights, made)
  return made
}
