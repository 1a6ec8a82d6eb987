import type { LogOffset, ModelId } from '@figmount/base'
import type { RightState } from '@figmount/records'
import type { HeldSlot } from '../loading/types.js'

/** A `keys` right held by this agent. */
export interface HeldKeys {
  readonly target: ModelId
  readonly fence: LogOffset
  /** An earlier holder, or an earlier run of this one, may have permitted keys issued before this log time. */
  readonly keysFromMs: number
  /** False until the tenure has been renewed for this run of the agent. */
  readonly isOwnTenure: boolean
  readonly revoked: boolean
}

/** The rights of this agent in the agreed state. */
export interface HeldRights {
  /** One per model: the lowest slot that is not revoked, otherwise a revoked one. */
  readonly slots: ReadonlyMap<ModelId, HeldSlot>
  readonly keys: ReadonlyMap<ModelId, HeldKeys>
  /** Rights that have to be released. */
  readonly revoked: readonly RightState[]
}
