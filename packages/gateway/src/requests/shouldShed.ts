import { planWait } from '@figmount/decisions'
import { RequestKind } from '@figmount/fleet'

import type { GatewayContext, RoutedRequest } from './types.js'

/**
 * True if no other organisation, or no other route of the service, is more urgent than this request. Engines admit more urgent requests
 * first, so the ones that are queued do not delay it.
 */
const hasTopPriority = (context: GatewayContext, { organisation, priority, serviceName }: RoutedRequest): boolean => {
  const { organisations, routes = [] } = context.deployment() ?? {}
  if (organisation?.priority !== undefined) return !organisations?.all.some(other => other.priority !== undefined && other.priority < priority)
  for (const other of routes) {
    if (other.priority >= priority || other.kind !== RequestKind.Stream) continue
    if (other.shares.some(share => share.serviceName === serviceName)) return false
  }
  return true
}

/** Whether the wait for a slot on the best engine would outlast the caller's patience. */
export const shouldShed = (context: GatewayContext, request: RoutedRequest, slotWaitMs: number, leftMs: number): boolean =>
  planWait({ readyInMs: slotWaitMs, leftMs }).isHopeless && !hasTopPriority(context, request)
