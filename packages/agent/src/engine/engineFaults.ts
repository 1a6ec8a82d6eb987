import { Code, ConnectError } from '@connectrpc/connect'
import { FaultKind, faultFrom, makeFault } from '@figmount/base'

import type { Fault } from '@figmount/base'

/** Error codes of a connection that was never made, so that no byte of a request can have left. */
const CONNECT_CODES: readonly string[] = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND']

/** The library's words for a stream that was cut off, which it reports under the code of a bad argument. */
const CUT_STREAM_PREFIX = 'protocol error'

const MAX_CAUSES = 5

/** Node's error code somewhere in the chain of causes; undefined if the error is not one of the system's. */
const systemCode = (thrown: unknown): string | undefined => {
  let error = thrown
  for (let depth = 0; depth < MAX_CAUSES && typeof error === 'object' && error !== null; depth += 1) {
    const { code, cause } = error as { readonly code?: unknown, readonly cause?: unknown }
    if (typeof code === 'string') return code
    error = cause
  }
  return undefined
}

/** True when the thrown error proves that no connection was made: nothing of the request has left. */
export const neverSent = (thrown: unknown): boolean => CONNECT_CODES.includes(systemCode(thrown) ?? '')

/** The same for a fault, whose message is that of the system's error. */
export const isConnectFailure = (fault: Fault): boolean =>
  fault.kind === FaultKind.Unavailable && CONNECT_CODES.some(code => fault.message.includes(code))

/**
 * The code with which the peer itself answered; undefined when the error arose on this side. The library gives a
 * reset connection the code `aborted` and a cut stream `invalid_argument`: taken for the engine's word, an order
 * or run that goes on would count as refused.
 */
export const answeredCode = (thrown: unknown): Code | undefined => {
  if (!(thrown instanceof ConnectError) || systemCode(thrown) !== undefined) return undefined
  if (thrown.rawMessage.startsWith(CUT_STREAM_PREFIX)) return undefined
  const isLocal = thrown.code === Code.Canceled || thrown.code === Code.DeadlineExceeded
  return isLocal ? undefined : thrown.code
}

/** Makes a fault of what a call to the engine threw; only the engine's own answers keep their kind. */
export const engineFault = (step: string, address: string) => (thrown: unknown): Fault => {
  const fault = faultFrom(step, address)(thrown)
  if (answeredCode(thrown) !== undefined || fault.kind === FaultKind.Timeout) return fault
  return makeFault(FaultKind.Unavailable, step, address, fault.message)
}
