import type { Incarnation, InstanceName, LogOffset, ModelId } from '@figmount/base'

/**
 * A right to act, granted ahead of need through the log.
 * `replica`: the holder may load one replica of the model under this slot index.
 * `keys`: the holder alone lets requests start that may not be repeated.
 * For plain services the target is the service's name and only `keys` exists.
 */
export type RightKey =
  | { readonly kind: 'replica', readonly target: ModelId, readonly slotIndex: number }
  | { readonly kind: 'keys', readonly target: ModelId }

/** A right key as text: `replica:service/model:0` or `keys:service/model`. */
export type RightId = string & { readonly __brand: 'RightId' }

export type RightStatus = 'granted' | 'revoked' | 'free'

/** The state of one right. `fence` is the offset of the grant that is or was in force. */
export interface RightState {
  readonly id: RightId
  readonly key: RightKey
  readonly status: RightStatus
  readonly holder: InstanceName
  /** The holder's incarnation that the tenure of a `keys` right belongs to. */
  readonly incarnation: Incarnation
  readonly fence: LogOffset
  /** Log time from which the tenure of a `keys` right counts. */
  readonly tenureFromMs: number
  /**
   * For a `keys` right: a key that was issued at or after this log time, by its own stamp, can't
   * have been let run by an earlier holder or an earlier run of this one. Margins are in it.
   */
  readonly keysFromMs: number
  /** A grant before this log time is ignored; set when a right became free by a void. */
  readonly grantableFromMs: number
}
