import { findModel, findService } from '../config/selectors.js'
import { indexRights } from '../rights/indexRights.js'
import { serviceOfTarget } from '../rights/rightId.js'

import type { InstanceName, ModelId, ServiceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { RightState } from '../rights/types.js'

/** The rights that a target may have; a target without configuration in force may have none. */
interface Allowance {
  readonly service: ServiceName
  readonly hasKeys: boolean
  readonly slotCount: number
  readonly memoryMb: number
}

const allowanceOf = (state: AgreedState, target: ModelId): Allowance => {
  const service = serviceOfTarget(target)
  if (!target.includes('/')) {
    return { service, hasKeys: findService(state, service)?.kind === 'plain', slotCount: 0, memoryMb: 0 }
  }
  const model = findModel(state, target)
  return { service, hasKeys: model !== undefined, slotCount: model?.maxReplicas ?? 0, memoryMb: model?.memoryMb ?? 0 }
}

const canHolderKeep = (state: AgreedState, right: RightState, allowance: Allowance, leaving: ReadonlySet<InstanceName>): boolean => {
  const holder = state.agents.get(right.holder)
  // A holder that is gone can't release a right; only a void frees it.
  if (!holder || holder.gone) return true
  if (holder.draining || leaving.has(right.holder)) return false
  if (!holder.services.includes(allowance.service)) return false
  return right.key.kind === 'keys' || allowance.memoryMb <= holder.memoryCapacityMb
}

/**
 * Finds the granted rights that must be revoked: their model is retired or its maximum number of replicas
 * was lowered, or their holder drains, leaves, no longer serves the service or lacks the memory.
 */
export const findRightsToRevoke = (state: AgreedState, leaving: ReadonlySet<InstanceName>): readonly RightState[] => {
  const rightsToRevoke: RightState[] = []
  for (const [target, { replicas, keys }] of indexRights(state)) {
    const allowance = allowanceOf(state, target)
    const mustRevoke = (right: RightState, isAllowed: boolean): boolean =>
      right.status === 'granted' && !(isAllowed && canHolderKeep(state, right, allowance, leaving))
    for (const [slotIndex, right] of replicas) {
      if (mustRevoke(right, slotIndex < allowance.slotCount)) rightsToRevoke.push(right)
    }
    if (keys && mustRevoke(keys, allowance.hasKeys)) rightsToRevoke.push(keys)
  }
  return rightsToRevoke
}
