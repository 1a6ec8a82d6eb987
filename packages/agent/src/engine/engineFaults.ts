import { Code, ConnectError } from '@connectrpc/connect'
import { FaultKind, faultFrom, makeFault } from '@figmount/base'

import type { Fault } from '@figmount/base'

/** Error codes of a failed connection attempt, after which no byte of a request was sent. */
const CONNECT_CODES: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND']

/** Prefix of the library's message for a stream that was cut off, which it reports with the code of an invalid argument. */
const CUT_STREAM_PREFIX = 'protocol error'

const MAX_CAUSES = 5

/** Node's error code in the chain of causes; undefined if there is no system error. */
const systemCode = (thrown: unknown): string | undefined => {
  let error = thrown
  for (let depth = 0; depth < MAX_CAUSES && typeof error === 'object' && error !== null; depth += 1) {
    const { code, cause } = error as { readonly code?: unknown, readonly cause?: unknown }
    if (typeof code === 'string') return code
    error = cause
  }
  return undefined
}

/** True if the thrown error proves that no connection was made and nothing was sent. */
export const neverSent = (thrown: unknown): boolean => CONNECT_CODES.includes(systemCode(thrown) ?? '')

/** Like `neverSent` for a fault, whose message contains that of the system error. */
export const isConnectFailure = (fault: Fault): boolean =>
  fault.kind === FaultKind.Unavailable && CONNECT_CODES.some(code => fault.message.includes(code))

/**
 * The code that the peer itself returned; undefined if the error arose on this side. The library reports a reset
 * connection as `aborted` and a cut stream as `invalid_argument`: treated as the engine's answer, an order or run that
 * continues would count as refused.
 */
export const answeredCode = (thrown: unknown): Code | undefined => {
  if (!(thrown instanceof ConnectError) || systemCode(thrown) !== undefined) return undefined
  if (thrown.rawMessage.startsWith(CUT_STREAM_PREFIX)) return undefined
  const isLocal = thrown.code === Code.Canceled || thrown.code === Code.DeadlineExceeded
  return isLocal ? undefined : thrown.code
}

/** Converts an error thrown by a call to the engine into a fault; only the engine's own answers keep their kind. */
export const engineFault = (step: string, address: string) => (thrown: unknown): Fault => {
  const fault = faultFrom(step, address)(thrown)
  if (answeredCode(thrown) !== undefined || fault.kind === FaultKind.Timeout) return fault
  return makeFault(FaultKind.Unavailable, step, address, fault.message)
}
