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
  /** True when nothing of the model is on the engine and no order for it is open. */
  readonly isUnloaded: (model: ModelId) => boolean
  /** True when all rights are to be given back because the instance goes away. */
  readonly isReleasingAll: () => boolean
  readonly onChange: () => void
}

/** The rights of this agent as the log grants them. */
export interface RightsKeeper {
  readonly current: () => HeldRights
  readonly tenure: (target: ModelId) => Tenure | undefined
  /** Gives back revoked rights whose models are unloaded, and renews tenures after a restart. */
  readonly settle: () => void
  readonly stop: Unsubscribe
}

/** Makes the keeper of this agent's rights. */
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
    // Before its own announcement has been read back an agent cannot know whether the rights are still its own.
    // Its slots only say what it may go on serving from an engine that holds it; nothing is loaded or given back.
    held = isAnnounced(context) ? rights : { ...noRights, slots: rights.slots }
    return held
  }

  // Guards against an order that an earlier run of this agent has sent and that is still on its way:
  // the engine shows nothing loaded, the right is given back and granted elsewhere, and then the
  // order loads the model here, too. Once every such order has lapsed the inventory is the truth.
  const mayHavePendingOrder = (right: RightState): boolean => {
    const announcedAt = records.state().agents.get(instance)?.offset ?? 0
    return right.fence < announcedAt && timers.nowMs() < earlierOrdersExpireAtMs
  }

  const canRelease = (right: RightState): boolean => {
    if (right.key.kind === 'keys') return true
    if (mayHavePendingOrder(right)) return false
    const slot = current().slots.get(right.key.target)
    // Another slot of the same model is in force here: the replica on the engine counts under that one.
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
