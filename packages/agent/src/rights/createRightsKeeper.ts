import { ORDER_DEADLINE_MS } from '@figmount/records'

import { AgentEvent } from '../events.js'
import { ORDER_SETTLE_MS } from '../loading/constants.js'
import { tenureOf } from '../once/tenureOf.js'
import { isAnnounced } from './keepAnnounced.js'
import { noRights, viewRights } from './viewRights.js'

import type { ModelId, Unsubscribe } from '@figmount/base'
import type { AgreedState, RightState } from '@figmount/records'
import type { AgentContext } from '../agent/types.js'
import type { Tenure } from '../once/types.js'
import type { AppendReliably } from './appendReliably.js'
import type { HeldRights } from './types.js'

interface Options {
  readonly context: AgentContext
  readonly append: AppendReliably
  /** True if the engine holds nothing of the model and no order for it is open. */
  readonly isUnloaded: (model: ModelId) => boolean
  /** True if all rights are to be released because the instance leaves permanently. */
  readonly isReleasingAll: () => boolean
  readonly onChange: () => void
}

/** The rights that the log grants to this agent. */
export interface RightsKeeper {
  readonly current: () => HeldRights
  readonly tenure: (target: ModelId) => Tenure | undefined
  /** Releases revoked rights whose models are unloaded, and renews tenures after a restart. */
  readonly settle: () => void
  readonly stop: Unsubscribe
}

/** Creates the keeper of this agent's rights. */
export const createRightsKeeper = ({ context, append, isUnloaded, isReleasingAll, onChange }: Options): RightsKeeper => {
  const { records, events, timers, instance, incarnation } = context
  const earlierOrdersExpireAtMs = timers.nowMs() + ORDER_DEADLINE_MS + ORDER_SETTLE_MS
  const releasing = new Set<number>()
  const renewing = new Set<number>()
  let lastState: AgreedState | undefined
  let wasReleasingAll = false
  let held: HeldRights = noRights

  const current = (): HeldRights => {
    const state = records.state()
    const releasingAll = isReleasingAll()
    if (state === lastState && releasingAll === wasReleasingAll) return held
    lastState = state
    wasReleasingAll = releasingAll
    const rights = viewRights(state, instance, incarnation, releasingAll)
    // Until its own announcement has been read back, an agent cannot tell whether the rights are still its own. The
    // slots then only determine which loaded models it may keep serving; nothing is loaded or released.
    held = isAnnounced(context) ? rights : { ...noRights, slots: rights.slots }
    return held
  }

  // An order sent by an earlier run of this agent may still be in transit. If the right were released because the
  // engine shows nothing loaded, it would be granted to another agent, and the late order would load the model here as
  // well. Once all such orders have expired, the inventory is reliable.
  const mayHavePendingOrder = (right: RightState): boolean => {
    const announcedAt = records.state().agents.get(instance)?.offset ?? 0
    return right.fence < announcedAt && timers.nowMs() < earlierOrdersExpireAtMs
  }

  const canRelease = (right: RightState): boolean => {
    if (right.key.kind === 'keys') return true
    if (mayHavePendingOrder(right)) return false
    const slot = current().slots.get(right.key.target)
    // Another slot of the same model is in force here, and the replica on the engine belongs to that slot.
    if (slot && slot.fence !== right.fence) return true
    return isUnloaded(right.key.target)
  }

  const settle = (): void => {
    const { revoked, keys } = current()
    for (const right of revoked) {
      if (releasing.has(right.fence) || !canRelease(right)) continue
      releasing.add(right.fence)
      const fields = { fence: right.fence, detail: right.id, model: right.key.target }
      append({ kind: 'right.release', right: right.key, fence: right.fence })
      events.emit(AgentEvent.rightReleased, fields)
    }
    for (const key of keys.values()) {
      if (key.isOwnTenure || key.revoked || renewing.has(key.fence)) continue
      renewing.add(key.fence)
      events.emit(AgentEvent.tenureRenewed, { fence: key.fence, model: key.target })
      append({ kind: 'right.renew', right: { kind: 'keys', target: key.target }, fence: key.fence, incarnation })
    }
  }

  const stopWaiting = timers.after(earlierOrdersExpireAtMs - timers.nowMs(), onChange)
  const stopListening = records.onChange(() => onChange())
  const stop = (): void => {
    stopWaiting()
    stopListening()
  }

  return {
    current,
    tenure: target => tenureOf(current().keys.get(target)),
    settle,
    stop
  }
}
