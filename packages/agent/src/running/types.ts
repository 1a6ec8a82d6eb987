import type { Fault } from '@figmount/base'
import type { PlainAnswer } from '@figmount/peers'
import type { FinishReason } from '@figmount/schema'
import type { Attempt } from '../attempts/types.js'

/** How one run on the backend server ended. */
export type RunEnd =
  | { readonly kind: 'finished', readonly finishReason: FinishReason, readonly plain?: PlainAnswer }
  /** Nothing of the request ran. */
  | { readonly kind: 'notRun', readonly fault: Fault, readonly isBackendDown: boolean }
  /** The run was interrupted and its outcome is unknown. */
  | { readonly kind: 'interrupted', readonly fault: Fault, readonly died: boolean, readonly incarnation: string }
  | { readonly kind: 'cancelled' }

/** Callbacks during a run. */
export interface RunHooks {
  /** Called when a byte was or may have been sent; repeated calls have no effect. */
  readonly onSent: () => void
  readonly onTokens: (firstTokenIndex: number, tokens: readonly string[]) => void
}

/** Runs one attempt on the backend server to its end. */
export type RunOnBackend = (attempt: Attempt, version: string, hooks: RunHooks, signal: AbortSignal) => Promise<RunEnd>
