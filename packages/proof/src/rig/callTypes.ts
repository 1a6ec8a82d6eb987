import type { Final, Refusal } from '@figmount/schema'

/** A test's request; `makeRequest` fills in the defaults. */
export interface RequestPlan {
  readonly service: string
  readonly model: string
  readonly prompt: string
  readonly adapter?: string
  readonly version?: string
  readonly caller?: string
  readonly requestKey?: string
  readonly repeatable?: boolean
  readonly maxTokens?: number
  readonly deadlineMs?: number
  readonly prefixHint?: string
  readonly resendCount?: number
  readonly issuedAtMs?: number
}

/** Result of one send. `broken`: the connection ended before a final frame or a refusal. */
export interface CallOutcome {
  readonly kind: 'answered' | 'refused' | 'broken'
  readonly tokens: readonly string[]
  readonly final?: Final
  readonly refusal?: Refusal
  readonly error?: string
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Protocol violations in the answer: gaps, repeats, frames after the final one, wrong counts. */
  readonly faults: readonly string[]
}

/** Result of a request over all its sends. */
export interface RequestOutcome {
  readonly plan: RequestPlan & { readonly requestKey: string }
  /** Result of the last send, which is the result of the request. */
  readonly last: CallOutcome
  readonly sends: readonly CallOutcome[]
  readonly totalMs: number
}
