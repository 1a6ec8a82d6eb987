import { Code, ConnectError } from '@connectrpc/connect'

import { FaultKind } from './types.js'

import type { Fault } from './types.js'

/** Makes a fault; `peer` is empty where no other party took part. */
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

/** Turns whatever a library threw into a fault of the given step and peer. */
export const faultFrom = (step: string, peer: string) => (thrown: unknown): Fault => {
  if (thrown instanceof ConnectError) {
    const kind = KIND_BY_CODE[thrown.code] ?? FaultKind.Unavailable
    return makeFault(kind, step, peer, thrown.rawMessage)
  }
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return makeFault(FaultKind.Unavailable, step, peer, message)
}

/** One line for logs and people. */
export const describeFault = (fault: Fault): string =>
  `${fault.step}${fault.peer ? ` with ${fault.peer}` : ''}: ${fault.message} (${fault.kind})`
