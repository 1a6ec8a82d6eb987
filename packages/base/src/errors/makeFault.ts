import { Code, ConnectError } from '@connectrpc/connect'

import { FaultKind } from './types.js'

import type { Fault } from './types.js'

/** Creates a fault; `peer` is empty if no other party was involved. */
export const makeFault = (kind: FaultKind, step: string, peer: string, message: string): Fault =>
  ({ kind, step, peer, message })

const KIND_BY_CODE: Partial<Record<Code, FaultKind>> = {
  [Code.InvalidArgument]: FaultKind.Invalid,
  [Code.Unauthenticated]: FaultKind.Unauthenticated,
  [Code.PermissionDenied]: FaultKind.Unauthenticated,
  [Code.NotFound]: FaultKind.NotFound,
  [Code.AlreadyExists]: FaultKind.Conflict,
  [Code.FailedPrecondition]: FaultKind.Conflict,
  [Code.Aborted]: FaultKind.Conflict,
  [Code.ResourceExhausted]: FaultKind.Exhausted,
  [Code.Unavailable]: FaultKind.Unavailable,
  [Code.DeadlineExceeded]: FaultKind.Timeout,
  [Code.Canceled]: FaultKind.Timeout
}

/** Converts an exception thrown by a library into a fault with the given step and peer. */
export const faultFrom = (step: string, peer: string) => (thrown: unknown): Fault => {
  if (thrown instanceof ConnectError) {
    const kind = KIND_BY_CODE[thrown.code] ?? FaultKind.Unavailable
    return makeFault(kind, step, peer, thrown.rawMessage)
  }
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return makeFault(FaultKind.Unavailable, step, peer, message)
}

/** Formats a fault as one line for logs and error messages. */
export const describeFault = (fault: Fault): string =>
  `${fault.step}${fault.peer ? ` with ${fault.peer}` : ''}: ${fault.message} (${fault.kind})`
