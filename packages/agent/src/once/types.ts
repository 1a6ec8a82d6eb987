import type { CallerName, ModelId, RequestKey } from '@figmount/base'
import type { Permit, RefusalNote, RunRequest } from '@figmount/peers'

/** A key that was let run, as its holder remembers it. */
export interface PermitEntry {
  readonly permit: Permit
  readonly target: ModelId
  /** Unix time after which a resend is refused as too old anyway. */
  readonly forgetAtUnixMs: number
}

/** The tenure of a `keys` right as the decision needs it. */
export interface Tenure {
  /** A key issued before this time may have been let run by an earlier holder; all margins are in it. */
  readonly fromMs: number
}

/** What the holder of a `keys` right decides on. */
export interface PermitView {
  readonly issuedAtMs: number
  readonly resendCount: number
  readonly nowUnixMs: number
  /** Undefined when this agent does not hold the right, or not for this run of it. */
  readonly tenure: Tenure | undefined
  readonly authority: 'fresh' | 'outage' | 'none'
  /** True when the instance list was read of late and names this holder. */
  readonly isListed: boolean
  readonly draining: boolean
  readonly isFull: boolean
}

export type PermitVerdict =
  | { readonly kind: 'grant' }
  | { readonly kind: 'refuse', readonly refusal: RefusalNote }

/** The part of a request that names it. */
export type KeyedRequest = Pick<RunRequest, 'caller' | 'requestKey' | 'issuedAtMs' | 'resendCount' | 'model' | 'service'>

/** Names a request key among all callers and targets. */
export interface KeyName {
  readonly target: ModelId
  readonly caller: CallerName
  readonly requestKey: RequestKey
}
