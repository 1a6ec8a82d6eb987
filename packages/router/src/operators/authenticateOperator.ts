import { Code, ConnectError } from '@connectrpc/connect'
import { hashKey } from '@figmount/base'

import { RouterEvent } from '../events.js'

import type { HandlerContext } from '@connectrpc/connect'
import type { EventLog } from '@figmount/base'
import type { OperatorKey } from '../settings/types.js'

const BEARER = 'Bearer '

/** Returns the name of the operator whose key the call carries; throws an `Unauthenticated` RPC error without a valid key. */
export const authenticateOperator = (keys: readonly OperatorKey[], events: EventLog, handler: HandlerContext): string => {
  const authorization = handler.requestHeader.get('authorization') ?? ''
  const keySha256 = authorization.startsWith(BEARER) ? hashKey(authorization.slice(BEARER.length)) : ''
  const operator = keys.find(entry => entry.keySha256 === keySha256)
  if (operator) return operator.name
  events.emit(RouterEvent.operatorRefused, { step: 'operators.authenticate', detail: handler.method.name })
  throw new ConnectError('operators.authenticate: no known operator key in the authorization header', Code.Unauthenticated)
}
