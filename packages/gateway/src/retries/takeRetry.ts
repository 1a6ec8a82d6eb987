import { GatewayEvent } from '../events.js'

import type { GatewayContext, RoutedRequest } from '../requests/types.js'
import type { RetryDecision } from './createRetryBudget.js'

/** Takes one retry for a request that goes to `peer`, its `count`th, and logs the decision with its inputs. */
export const takeRetry = (context: GatewayContext, request: RoutedRequest, peer: string, count: number): RetryDecision => {
  const decision = context.budget.takeRetry(request.serviceName)
  const { isTaken, settle: _, maxRetryCount, ...seen } = decision
  context.events.emit(isTaken ? GatewayEvent.requestRepeated : GatewayEvent.retryDenied, {
    requestKey: request.caller.requestId, service: request.serviceName, peer, count, ...seen, maxRetryCount: Math.round(maxRetryCount * 10) / 10
  })
  return decision
}
