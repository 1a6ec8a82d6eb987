import { runInBackground } from '@figmount/base'

import { hasBegunLoading, isHolding } from '../placing/stateOfModel.js'
import { MOVED_REASON } from './watchLoads.js'

import type { EventLog } from '@figmount/base'
import type { AgentState } from '@figmount/fleet'
import type { OpenWant } from '../agents/types.js'

/** A want whose caller was refused because the load ends too late for it. It stays open for the caller's next attempt. */
interface RefusedWant {
  readonly serviceName: string
  readonly modelName: string
  /** Address of the engine that was asked. */
  readonly address: string
  readonly want: OpenWant
}

/** Open wants for loads from the weight store whose callers were refused. */
export interface RefusedWants {
  readonly add: (want: RefusedWant) => void
  readonly takeState: (address: string, state: AgentState) => void
}

/**
 * Keeps the wants of refused callers, and withdraws them once another engine has the model or has begun to load it. Nobody else would:
 * the callers have left.
 */
export const createRefusedWants = (events: EventLog, isServing: (serviceName: string, address: string) => boolean): RefusedWants => {
  const wantsByModel = new Map<string, Set<RefusedWant>>()

  const remove = (refused: RefusedWant): void => {
    const wants = wantsByModel.get(refused.modelName)
    wants?.delete(refused)
    if (wants?.size === 0) wantsByModel.delete(refused.modelName)
  }

  return {
    add: refused => {
      const wants = wantsByModel.get(refused.modelName) ?? new Set()
      wantsByModel.set(refused.modelName, wants.add(refused))
      runInBackground(events, 'requests.refusedWant', refused.want.outcome.then(() => { remove(refused) }))
    },
    takeState: (address, state) => {
      for (const [modelName, wants] of wantsByModel) {
        if (!isHolding(state, modelName) && !hasBegunLoading(state, modelName)) continue
        for (const refused of wants) {
          if (refused.address !== address && isServing(refused.serviceName, address)) refused.want.drop(MOVED_REASON)
        }
      }
    }
  }
}
