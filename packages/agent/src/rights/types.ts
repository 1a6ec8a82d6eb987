import type { LogOffset, ModelId } from '@figmount/base'
import type { RightState } from '@figmount/records'
import type { HeldSlot } from '../loading/types.js'

/** A `keys` right that this agent holds. */
export interface HeldKeys {
  readonly target: ModelId
  readonly fence: LogOffset
  /** A key issued before this log time may have been let run by an earlier holder or run of this one. */
  readonly keysFromMs: number
  /** False until the tenure has been renewed for this run of the agent. */
  readonly isOwnTenure: boolean
  readonly revoked: boolean
}

/** The rights of this agent, taken from the agreed state. */
export interface HeldRights {
  /** One for each model: the lowest slot that is not revoked, else a revoked one. */
  readonly slots: ReadonlyMap<ModelId, HeldSlot>
  readonly keys: ReadonlyMap<ModelId, HeldKeys>
  /** Rights to be given back. */
  readonly revoked: readonly RightState[]
}
