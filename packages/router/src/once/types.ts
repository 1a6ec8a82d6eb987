import type { AttemptId, InstanceName } from '@figmount/base'
import type { Permit, RefusalNote } from '@figmount/peers'

/**
 * Decision of the holder of a keys right about one request key. The agent that holds the keys right of a model is the only one that lets
 * non-repeatable requests for it start, so that each request key runs at most once.
 */
export type PermitDecision =
  | { readonly kind: 'start', readonly attemptId: AttemptId, readonly executor: InstanceName, readonly permit?: Permit }
  /** The key is running or has already run. */
  | { readonly kind: 'join', readonly attemptId: AttemptId, readonly executor: InstanceName }
  /** `isDecided`: the refusal was made by the holder itself and applies to every send of the key. */
  | { readonly kind: 'refuse', readonly note: RefusalNote, readonly isDecided: boolean }
