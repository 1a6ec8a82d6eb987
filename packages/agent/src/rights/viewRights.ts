import type { Incarnation, InstanceName, ModelId } from '@figmount/base'
import type { AgreedState, RightState } from '@figmount/records'
import type { HeldSlot } from '../loading/types.js'
import type { HeldKeys, HeldRights } from './types.js'

const isPreferred = (slot: HeldSlot, known: HeldSlot | undefined): boolean => {
  if (!known) return true
  if (slot.revoked !== known.revoked) return !slot.revoked
  return slot.slotIndex < known.slotIndex
}

/** Lists the rights that an instance holds, in force or revoked; if `releasingAll`, all of them count as revoked. */
export const viewRights = (
  state: Pick<AgreedState, 'rights'>,
  instance: InstanceName,
  incarnation: Incarnation,
  releasingAll: boolean
): HeldRights => {
  const slots = new Map<ModelId, HeldSlot>()
  const keys = new Map<ModelId, HeldKeys>()
  const revokedRights: RightState[] = []
  for (const right of state.rights.values()) {
    if (right.holder !== instance || right.status === 'free') continue
    const { key, fence } = right
    const revoked = releasingAll || right.status === 'revoked'
    if (revoked) revokedRights.push(right)
    if (key.kind === 'keys') {
      const { keysFromMs } = right
      keys.set(key.target, { target: key.target, fence, keysFromMs, isOwnTenure: right.incarnation === incarnation, revoked })
      continue
    }
    const slot: HeldSlot = { model: key.target, slotIndex: key.slotIndex, fence, revoked }
    if (isPreferred(slot, slots.get(key.target))) slots.set(key.target, slot)
  }
  return { slots, keys, revoked: revokedRights }
}

/** The rights before the log has been read. */
export const noRights: HeldRights = { slots: new Map(), keys: new Map(), revoked: [] }
