import type { Final, Refusal } from '@figmount/schema'

/** A request as a test states it; what is left out gets the defaults of `makeRequest`. */
export interface AskPlan {
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

/** What one send of a request came to. `broken`: the connection ended without a last frame. */
export interface CallOutcome {
  readonly kind: 'answered' | 'refused' | 'broken'
  readonly tokens: readonly string[]
  readonly final?: Final
  readonly refusal?: Refusal
  readonly error?: string
  readonly firstTokenMs: number
  readonly totalMs: number
  /** Broken rules of the answer: gaps, repeats, frames after the last one, wrong counts. */
  readonly faults: readonly string[]
}

/** What all sends of one request came to. */
export interface AskOutcome {
  readonly plan: AskPlan & { readonly requestKey: string }
  /** The last send's outcome, whose answer the caller keeps. */
  readonly last: CallOutcome
  readonly sends: readonly CallOutcome[]
  readonly totalMs: number
}
