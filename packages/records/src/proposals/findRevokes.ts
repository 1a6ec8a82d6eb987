import { findModel, findService } from '../config/selectors.js'
import { serviceOfTarget } from '../rights/rightId.js'

import type { InstanceName, ServiceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { RightState } from '../rights/types.js'

const isInForce = (state: AgreedState, { key }: RightState): boolean => {
  if (!key.target.includes('/')) return findService(state, key.target as string as ServiceName)?.kind === 'plain'
  const model = findModel(state, key.target)
  return model !== undefined && (key.kind === 'keys' || key.slotIndex < model.maxReplicas)
}

const canHolderKeep = (state: AgreedState, right: RightState, leaving: ReadonlySet<InstanceName>): boolean => {
  const holder = state.agents.get(right.holder)
  // A holder that is gone can't release; its rights wait for a void.
  if (!holder || holder.gone) return true
  if (holder.draining || leaving.has(right.holder)) return false
  if (!holder.services.includes(serviceOfTarget(right.key.target))) return false
  const memoryMb = right.key.kind === 'replica' ? findModel(state, right.key.target)?.memoryMb ?? 0 : 0
  return memoryMb <= holder.memoryCapacityMb
}

/**
 * Granted rights that are to be given up: their model is retired or may have fewer replicas now,
 * or their holder drains, leaves, no longer serves the service or has become too small.
 */
export const findRevokes = (state: AgreedState, leaving: ReadonlySet<InstanceName>): readonly RightState[] => {
  const revokes: RightState[] = []
  for (const right of state.rights.values()) {
    if (right.status !== 'granted') continue
    if (isInForce(state, right) && canHolderKeep(state, right, leaving)) continue
    revokes.push(right)
  }
  return revokes
}
