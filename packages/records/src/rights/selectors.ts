import { rightIdOf } from './rightId.js'
import { findModel } from '../config/selectors.js'

import type { ModelId } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { RightState } from './types.js'

/**
 * The granted replica rights of a model by slot index, without those at or above its current
 * `maxReplicas`. Revoked rights are not included because they get no new work.
 */
export const findReplicaRights = (state: AgreedState, model: ModelId): readonly RightState[] => {
  const slotCount = findModel(state, model)?.maxReplicas ?? 0
  const granted: RightState[] = []
  for (let slotIndex = 0; slotIndex < slotCount; slotIndex += 1) {
    const right = state.rights.get(rightIdOf({ kind: 'replica', target: model, slotIndex }))
    if (right?.status === 'granted') granted.push(right)
  }
  return granted
}

/** The granted keys right of a model, or of a plain service by its name; undefined if it has no holder. */
export const findKeysRight = (state: AgreedState, target: ModelId): RightState | undefined => {
  const right = state.rights.get(rightIdOf({ kind: 'keys', target }))
  return right?.status === 'granted' ? right : undefined
}
