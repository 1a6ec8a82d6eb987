import { chooseLoader } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'
import { viewLoaders } from '../placing/viewServers.js'
import { ADAPTER_WAIT_MS, LOAD_SHARE, NO_SERVER_RETRY_MS, WAIT_SHARE } from './constants.js'

import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** Whether a model came in time; if not, when it may be there. */
export interface ModelWait {
  readonly isReady: boolean
  /** The engine that was asked went away: another one may be asked. */
  readonly isLost: boolean
  readonly reason: string
  readonly retryAfterMs: number
}

/**
 * Has a model loaded that no engine holds, and waits for it. A request that the load would leave no time, or whose
 * caller would leave before its first event, is not kept waiting: it hears at once when the model will be there, and the load is begun for its return.
 */
export const awaitModel = async (context: GatewayContext, request: RoutedRequest, servers: readonly KnownServer[]): Promise<ModelWait> => {
  const { modelName, requestId } = request.caller
  const nowMs = context.timers.nowMs()
  const engine = context.deployment()?.services.find(service => service.name === request.serviceName)?.engine
  const model = engine?.models.find(candidate => candidate.name === modelName)
  if (!engine || !model) return { isReady: false, isLost: false, reason: 'the model is not of this service', retryAfterMs: NO_SERVER_RETRY_MS }
  const choice = chooseLoader(model, viewLoaders(context.directory, engine, model, servers, nowMs))
  const server = servers.find(candidate => candidate.entry.serverId === choice?.serverId)
  const agent = server && context.agents.find(server.entry.address)
  if (!choice || !agent) return { isReady: false, isLost: false, reason: 'no agent can load the model', retryAfterMs: NO_SERVER_RETRY_MS }
  const leftMs = Math.min(request.untilMs, request.arrivedMs + request.route.patienceMs) - nowMs
  const isHopeless = choice.readyInMs > leftMs * LOAD_SHARE
  context.events.emit(GatewayEvent.modelAwaited, {
    requestKey: requestId, model: modelName, peer: choice.serverId, waitMs: Math.round(choice.readyInMs), reason: isHopeless ? 'too late for this request' : 'waits'
  })
  const timeLeftMs = isHopeless ? choice.readyInMs * 2 : leftMs * WAIT_SHARE
  const wanted = agent.want({ serverId: choice.serverId, modelName, adapterName: '', waitingCount: 1, gainPerS: 0, timeLeftMs })
  if (isHopeless) return { isReady: false, isLost: false, reason: 'the model comes too late', retryAfterMs: choice.readyInMs }
  const outcome = await wanted
  return { ...outcome, retryAfterMs: NO_SERVER_RETRY_MS }
}

/** Has an adapter put in place beside its model. */
export const awaitAdapter = async (context: GatewayContext, request: RoutedRequest, server: KnownServer): Promise<boolean> => {
  const { modelName, adapterName, requestId } = request.caller
  const agent = context.agents.find(server.entry.address)
  if (!agent) return false
  const timeLeftMs = Math.min(ADAPTER_WAIT_MS, request.untilMs - context.timers.nowMs())
  context.events.emit(GatewayEvent.modelAwaited, { requestKey: requestId, model: modelName, adapter: adapterName, peer: server.entry.serverId })
  const outcome = await agent.want({ serverId: server.entry.serverId, modelName, adapterName, waitingCount: 1, gainPerS: 0, timeLeftMs })
  return outcome.isReady
}
