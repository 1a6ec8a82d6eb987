/** What kind of failure a fault is; callers decide by it whether to retry. */
export const FaultKind = {
  Invalid: 'invalid',
  Unauthenticated: 'unauthenticated',
  NotFound: 'not_found',
  Conflict: 'conflict',
  Exhausted: 'exhausted',
  Unavailable: 'unavailable',
  Timeout: 'timeout',
  Internal: 'internal'
} as const

export type FaultKind = typeof FaultKind[keyof typeof FaultKind]

/** A failure as a value. It carries the step and the peer at which it arose. */
export interface Fault {
  readonly kind: FaultKind
  /** What was being done, as `slice.action`. */
  readonly step: string
  /** Whom it was done with: an instance, an address or a file. */
  readonly peer: string
  readonly message: string
}
