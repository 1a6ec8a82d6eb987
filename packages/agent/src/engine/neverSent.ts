import { FaultKind } from '@figmount/base'

import type { Fault } from '@figmount/base'

/** Error codes of a connection that was never made, so that no byte of a request can have left. */
const CONNECT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'ENOTFOUND'])

const MAX_CAUSES = 5

/** True when the thrown error proves that no connection was made: nothing of the request has left. */
export const neverSent = (thrown: unknown): boolean => {
  let error = thrown
  for (let depth = 0; depth < MAX_CAUSES && typeof error === 'object' && error !== null; depth += 1) {
    const { code, cause } = error as { readonly code?: unknown, readonly cause?: unknown }
    if (typeof code === 'string' && CONNECT_CODES.has(code)) return true
    error = cause
  }
  return false
}

/** The same for a fault, whose message is that of the system's error. */
export const isRefused = (fault: Fault): boolean =>
  fault.kind === FaultKind.Unavailable && [...CONNECT_CODES].some(code => fault.message.includes(code))
