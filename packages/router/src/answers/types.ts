import type { AttemptId } from '@figmount/base'
import type { PlainAnswer, RefusalNote } from '@figmount/peers'
import type { FinishReason, WaitState } from '@figmount/schema'

/** One piece of what a caller is told, before it is numbered. The last is `final` or `refusal`. */
export type AnswerPart =
  | { readonly kind: 'waiting', readonly state: WaitState, readonly estimatedWaitMs: number }
  | TokensPart
  | FinalPart
  | { readonly kind: 'refusal', readonly note: RefusalNote }

export interface TokensPart {
  readonly kind: 'tokens'
  readonly firstTokenIndex: number
  readonly tokens: readonly string[]
}

export interface FinalPart {
  readonly kind: 'final'
  readonly tokenCount: number
  readonly finishReason: FinishReason
  readonly version: string
  readonly replayed: boolean
  readonly plain?: PlainAnswer
}

/** Where one answer stands. Tokens are counted over all attempts, frames within the present one. */
export interface AnswerState {
  readonly attemptId: AttemptId
  /** Frame of the present attempt that comes next. */
  readonly nextFrame: number
  /** Tokens that the caller has. */
  readonly tokenCount: number
}

/** What a frame means for the caller. */
export type AnswerStep =
  | { readonly kind: 'deliver', readonly firstTokenIndex: number, readonly tokens: readonly string[] }
  | { readonly kind: 'finish' }
  /** Repeated, late or of another attempt. */
  | { readonly kind: 'drop', readonly reason: string }
  /** Frames are missing: they have to be asked for from `fromFrame` on. */
  | { readonly kind: 'gap', readonly fromFrame: number }
  /** Tokens are missing that the agent will not send: the attempt is of no use. */
  | { readonly kind: 'broken', readonly reason: string }
