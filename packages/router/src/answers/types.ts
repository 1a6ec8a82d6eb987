import type { AttemptId } from '@figmount/base'
import type { PlainAnswer, RefusalNote } from '@figmount/peers'
import type { FinishReason, WaitState } from '@figmount/schema'

/** A part of an answer to a caller, before frames are numbered. The last part is `final` or `refusal`. */
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

/** Progress of one answer. Tokens are counted over all attempts, frames within the current one. */
export interface AnswerState {
  readonly attemptId: AttemptId
  /** Number of the next frame expected from the current attempt. */
  readonly nextFrame: number
  /** Number of tokens delivered to the caller. */
  readonly tokenCount: number
}

/** Effect of a frame on the answer. */
export type AnswerStep =
  | { readonly kind: 'deliver', readonly firstTokenIndex: number, readonly tokens: readonly string[] }
  | { readonly kind: 'finish' }
  /** The frame is repeated, late or of another attempt. */
  | { readonly kind: 'drop', readonly reason: string }
  /** Frames are missing and must be requested from `fromFrame` on. */
  | { readonly kind: 'gap', readonly fromFrame: number }
  /** Tokens are missing that the agent will not send; the attempt cannot be completed. */
  | { readonly kind: 'broken', readonly reason: string }
