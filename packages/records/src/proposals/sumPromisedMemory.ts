import { findModel } from '../config/selectors.js'
import { indexRights } from '../rights/indexRights.js'

import type { InstanceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'

/** Memory in MB that each agent needs for the models of all replica slots that it holds. */
export const sumPromisedMemory = (state: AgreedState): Map<InstanceName, number> => {
  const promised = new Map<InstanceName, number>()
  for (const [target, { replicas }] of indexRights(state)) {
    const memoryMb = findModel(state, target)?.memoryMb ?? 0
    for (const { status, holder } of replicas.values()) {
      if (status !== 'free') promised.set(holder, (promised.get(holder) ?? 0) + memoryMb)
    }
  }
  return promised
}
