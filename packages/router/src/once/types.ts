import type { AttemptId, InstanceName } from '@figmount/base'
import type { Permit, RefusalNote } from '@figmount/peers'

/** What the holder of a keys right has decided on one key. */
export type PermitDecision =
  | { readonly kind: 'start', readonly attemptId: AttemptId, readonly executor: InstanceName, readonly permit?: Permit }
  /** The key runs or ran already. */
  | { readonly kind: 'join', readonly attemptId: AttemptId, readonly executor: InstanceName }
  /** `decided`: it is the holder's own word and covers every send of the key. */
  | { readonly kind: 'refuse', readonly note: RefusalNote, readonly decided: boolean }
