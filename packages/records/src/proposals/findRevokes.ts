import { findModel, findService } from '../config/selectors.js'
import { indexRights } from '../rights/indexRights.js'
import { serviceOfTarget } from '../rights/rightId.js'

import type { InstanceName, ModelId, ServiceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { RightState } from '../rights/types.js'

/** What a target allows; a target that is not in force allows nothing. */
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
  // A holder that is gone can't release; its rights wait for a void.
  if (!holder || holder.gone) return true
  if (holder.draining || leaving.has(right.holder)) return false
  if (!holder.services.includes(allowance.service)) return false
  return right.key.kind === 'keys' || allowance.memoryMb <= holder.memoryCapacityMb
}

/**
 * Granted rights that are to be given up: their model is retired or may have fewer replicas now,
 * or their holder drains, leaves, no longer serves the service or has become too small.
 */
export const findRevokes = (state: AgreedState, leaving: ReadonlySet<InstanceName>): readonly RightState[] => {
  const revokes: RightState[] = []
  for (const [target, { replicas, keys }] of indexRights(state)) {
    const allowance = allowanceOf(state, target)
    const mustGo = (right: RightState, isAllowed: boolean): boolean =>
      right.status === 'granted' && !(isAllowed && canHolderKeep(state, right, allowance, leaving))
    for (const [slotIndex, right] of replicas) {
      if (mustGo(right, slotIndex < allowance.slotCount)) revokes.push(right)
    }
    if (keys && mustGo(keys, allowance.hasKeys)) revokes.push(keys)
  }
  return revokes
}
