import { listServices, modelsOfService } from '../config/selectors.js'
import { rightIdOf } from '../rights/rightId.js'

import type { InstanceName } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'

/** Memory in MB of all models that each agent holds a slot of. */
export const sumPromised = (state: AgreedState): Map<InstanceName, number> => {
  const promised = new Map<InstanceName, number>()
  for (const service of listServices(state)) {
    for (const [target, model] of modelsOfService(state, service)) {
      for (let slotIndex = 0; slotIndex < model.maxReplicas; slotIndex += 1) {
        const right = state.rights.get(rightIdOf({ kind: 'replica', target, slotIndex }))
        if (right && right.status !== 'free') promised.set(right.holder, (promised.get(right.holder) ?? 0) + model.memoryMb)
      }
    }
  }
  return promised
}
