import type { Incarnation, InstanceName, LogOffset, ModelId } from '@figmount/base'

/**
 * A right to act, granted in advance through the log.
 * `replica`: the holder may load one replica of the model under this slot index.
 * `keys`: only the holder may start requests that must not be repeated, identified by their keys.
 * For a plain service the target is the service's name, and only `keys` exists.
 */
export type RightKey =
  | { readonly kind: 'replica', readonly target: ModelId, readonly slotIndex: number }
  | { readonly kind: 'keys', readonly target: ModelId }

/** A right key as text: `replica:service/model:0` or `keys:service/model`. */
export type RightId = string & { readonly __brand: 'RightId' }

/** `revoked`: the holder gets no new work and has to release the right. `free`: no agent holds it. */
export type RightStatus = 'granted' | 'revoked' | 'free'

/** The state of one right. `fence` is the offset of its current or, if it is free, its last grant. */
export interface RightState {
  readonly id: RightId
  readonly key: RightKey
  readonly status: RightStatus
  readonly holder: InstanceName
  /** The holder's incarnation to which the tenure of a `keys` right belongs. */
  readonly incarnation: Incarnation
  readonly fence: LogOffset
  /** Log time at which the tenure of a `keys` right began. */
  readonly tenureFromMs: number
  /**
   * For a `keys` right: a request key stamped at or after this log time can't have been permitted
   * by an earlier holder or an earlier run of this one. Clock margins are included.
   */
  readonly keysFromMs: number
  /** A grant before this log time is ignored; set when a void freed the right. */
  readonly grantableFromMs: number
}
