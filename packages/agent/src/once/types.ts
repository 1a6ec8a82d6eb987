import type { CallerName, ModelId, RequestKey } from '@figmount/base'
import type { Permit, RefusalNote, RunRequest } from '@figmount/peers'

/** A permitted key in the holder's ledger. */
export interface PermitEntry {
  readonly permit: Permit
  readonly target: ModelId
  /** Unix time after which a resend is refused as too old anyway. */
  readonly forgetAtUnixMs: number
}

/** The time range in which the holder of a `keys` right decides on keys. */
export interface Tenure {
  /** An earlier holder may have permitted keys issued before this time; all safety margins are included. */
  readonly fromMs: number
}

/** Inputs for the decision on a key. */
export interface PermitView {
  readonly issuedAtMs: number
  readonly resendCount: number
  readonly nowUnixMs: number
  /** Undefined if this agent does not hold the right, or holds it from an earlier run. */
  readonly tenure: Tenure | undefined
  readonly authority: 'fresh' | 'outage' | 'none'
  /** True if a recent read of the instance list contains this holder. */
  readonly isListed: boolean
  readonly draining: boolean
  /** True if the ledger holds its maximum number of keys. */
  readonly isFull: boolean
}

export type PermitVerdict =
  | { readonly kind: 'grant' }
  | { readonly kind: 'refuse', readonly refusal: RefusalNote }

/** The fields of a request that its permit is decided on. */
export type KeyedRequest = Pick<RunRequest, 'caller' | 'requestKey' | 'issuedAtMs' | 'resendCount' | 'model' | 'service'>

/** Identifies a request key among all callers and targets. */
export interface KeyName {
  readonly target: ModelId
  readonly caller: CallerName
  readonly requestKey: RequestKey
}
