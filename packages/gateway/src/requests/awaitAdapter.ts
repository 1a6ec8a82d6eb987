import { planWait } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'
import { limitWait } from '../stopping/limitWait.js'
import { awaitWant } from './awaitWant.js'
import { ADAPTER_WAIT_MS, STOPPING_REASON, STOPPING_RETRY_MS } from './constants.js'

import type { KnownServer } from '../directory/types.js'
import type { RefusedWait, WaitBounds } from './awaitWant.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** How the wait for an adapter ended. */
export type AdapterWait =
  | { readonly type: 'there' }
  /** The adapter was not loaded: another engine may have it sooner. */
  | { readonly type: 'missed' }
  | RefusedWait

/**
 * Requests an adapter from the agent of an engine that holds its model. An engine fetches an adapter in milliseconds but accepts no order
 * while it loads a model. A request that cannot wait for the end of that load is refused at once, with the time of its end; its adapter is
 * then the first to be fetched.
 */
export const awaitAdapter = async (
  context: GatewayContext, request: RoutedRequest, server: KnownServer, expectedMs: number, bounds: WaitBounds
): Promise<AdapterWait> => {
  const { modelName, adapterName, requestId } = request.caller
  const { stop, timers } = context
  const agent = context.agents.find(server.entry.address)
  if (!agent) return { type: 'missed' }
  const readyAtMs = timers.nowMs() + expectedMs
  const { isHopeless, wantLifetimeMs } = planWait({ readyInMs: expectedMs, leftMs: bounds.callerLeavesMs() - timers.nowMs() })
  context.events.emit(GatewayEvent.modelAwaited, {
    requestKey: requestId,
    model: modelName,
    adapter: adapterName,
    peer: server.entry.serverId,
    waitMs: Math.round(expectedMs),
    reason: isHopeless ? 'too late for this request' : 'waits'
  })
  const timeLeftMs = isHopeless ? wantLifetimeMs : Math.min(wantLifetimeMs, expectedMs + ADAPTER_WAIT_MS)
  const want = agent.want({ serverId: server.entry.serverId, modelName, adapterName, waitingCount: 1, lateCount: 0, timeLeftMs })
  if (isHopeless) return { type: 'late', reason: 'the adapter comes too late', retryAfterMs: expectedMs }
  const stopLimiting = limitWait({ stop, timers, lastSendMs: bounds.lastSendMs, readyAtMs, giveUp: () => want.drop(STOPPING_REASON) })
  const outcome = await awaitWant(request, want)
  stopLimiting()
  if (outcome.reason === STOPPING_REASON) return { type: 'late', reason: STOPPING_REASON, retryAfterMs: Math.max(STOPPING_RETRY_MS, readyAtMs - timers.nowMs()) }
  return { type: outcome.isReady ? 'there' : 'missed' }
}
