/** Category of a failure. The code that receives a fault decides by it whether to retry. */
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

/** A failure returned as a value, with the step and the peer at which it occurred. */
export interface Fault {
  readonly kind: FaultKind
  /** The operation that failed, as `module.action`, such as `links.open`. */
  readonly step: string
  /** The other party of the operation: an instance, an address or a file. */
  readonly peer: string
  readonly message: string
}
