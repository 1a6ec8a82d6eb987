import { findModel } from '../config/selectors.js'
import { indexRights } from '../rights/indexRights.js'

import type { InstanceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'

/** Memory in MB of all models that each agent holds a slot of. */
export const sumPromised = (state: AgreedState): Map<InstanceName, number> => {
  const promised = new Map<InstanceName, number>()
  for (const [target, { replicas }] of indexRights(state)) {
    const memoryMb = findModel(state, target)?.memoryMb ?? 0
    for (const { status, holder } of replicas.values()) {
      if (status !== 'free') promised.set(holder, (promised.get(holder) ?? 0) + memoryMb)
    }
  }
  return promised
}
