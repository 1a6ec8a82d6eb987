import { GatewayEvent } from '../events.js'
import { noteCallerLeft, refuse, Status } from '../requests/endRequest.js'

import type { Organisation } from '@figmount/fleet'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** Time for which a request may wait for units: the same for all, so that no kind of request overtakes another. */
const MAX_WAIT_MS = 30

/** Jitter added to the retry-after, as a fraction of it, so that refused callers do not return all at once. */
const SPREAD_SHARE = 0.25

/** Counts a request against its organisation's limit; returns false if it was refused. */
export const takeQuota = async (context: GatewayContext, request: RoutedRequest, organisation: Organisation): Promise<boolean> => {
  const admission = await context.quotas.admit(organisation, request.units, MAX_WAIT_MS)
  if (admission.isAdmitted) {
    if (!request.callerLeft.aborted) return true
    context.quotas.refund(organisation, request.units)
    noteCallerLeft(context, request)
    return false
  }
  const retryAfterMs = Math.ceil(admission.retryAfterMs * (1 + SPREAD_SHARE * context.random()))
  if (!admission.isOverLimit) {
    refuse(context, { ...request, organisation: undefined }, 'nobody counts the organisation\'s requests', retryAfterMs)
    return false
  }
  context.metrics.count('requests_limited_total')
  context.events.emit(GatewayEvent.requestLimited, {
    requestKey: request.caller.requestId, organisation: organisation.name, tokenCount: request.units, retryAfterMs
  })
  if (request.response.destroyed) return false
  request.response.writeHead(Status.TooManyRequests, [...context.codec.encodeRefusal(request.caller.requestId, retryAfterMs)])
  request.response.end()
  return false
}
