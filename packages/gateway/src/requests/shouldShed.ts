import { planWait } from '@figmount/decisions'
import { RequestKind } from '@figmount/fleet'

import type { GatewayContext, RoutedRequest } from './types.js'

/** An engine takes in more urgent requests first: those that wait for a place do not keep the most urgent ones waiting. */
const hasTopPriority = (context: GatewayContext, { organisation, priority, serviceName }: RoutedRequest): boolean => {
  const { organisations, routes = [] } = context.deployment() ?? {}
  if (organisation?.priority !== undefined) return !organisations?.all.some(other => other.priority !== undefined && other.priority < priority)
  for (const other of routes) {
    if (other.priority >= priority || other.kind !== RequestKind.Stream) continue
    if (other.shares.some(share => share.serviceName === serviceName)) return false
  }
  return true
}

/** Whether the wait for a place at the best engine leaves a request no time before its caller leaves. */
export const shouldShed = (context: GatewayContext, request: RoutedRequest, slotWaitMs: number, leftMs: number): boolean =>
  planWait({ readyInMs: slotWaitMs, leftMs }).isHopeless && !hasTopPriority(context, request)
