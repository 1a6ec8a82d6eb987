import { planWait } from '@figmount/decisions'
import { findEngine } from '@figmount/fleet'

import { GatewayEvent } from '../events.js'
import { findLoader } from '../placing/findLoader.js'
import { limitWait } from '../stopping/limitWait.js'
import { awaitDeparture } from './awaitDeparture.js'
import { awaitWant } from './awaitWant.js'
import { MAX_QUEUED_COLD_LOADS, NO_SERVER_RETRY_MS, STOPPING_REASON, STOPPING_RETRY_MS, UNKNOWN_COPIES_RETRY_MS } from './constants.js'
import { MOVED_REASON, watchLoadsElsewhere, watchFasterLoader } from './watchLoads.js'

import type { ModelSpec } from '@figmount/fleet'
import type { KnownServer } from '../directory/types.js'
import type { Loader } from '../placing/findLoader.js'
import type { RefusedWait, WaitBounds } from './awaitWant.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** How the wait for a model ended. */
export type ModelWait =
  /** An engine holds it, or another one will sooner: the request chooses a server again. */
  | { readonly type: 'changed' }
  /** The engine or agent that was asked to load it went down: another one may be asked. */
  | { readonly type: 'lost', readonly reason: string, readonly retryAfterMs: number }
  | RefusedWait

/**
 * Ends the wait of a request at a stopping router. If the load is in progress, the caller is told to retry when it ends; otherwise at once,
 * so that another router starts the load.
 */
const endWaitAtStop = (context: GatewayContext, { server }: Loader, modelName: string, readyAtMs: number): ModelWait => {
  const state = context.directory.find(server.entry.serverId)?.state
  const hasBegun = state?.loadingModel === modelName && state.loadingForMs > 0
  const leftMs = Math.max(STOPPING_RETRY_MS, readyAtMs - context.timers.nowMs())
  return { type: 'late', reason: STOPPING_REASON, retryAfterMs: hasBegun ? leftMs : STOPPING_RETRY_MS }
}

/** Time until the weight store can begin the load; 0 when it has begun, or when the engine has a copy of its own. */
const storeWaitMs = (context: GatewayContext, { isCold, server }: Loader, model: ModelSpec): number => {
  const hasBegun = server.state?.loadingModel === model.name
  return isCold && !hasBegun ? context.coldLoads.waitMs(server.entry.address, model.coldLoadMs) : 0
}

/**
 * Has a model loaded that no engine holds, and waits for it. A request that would time out before the load ends, or whose caller
 * would leave before the first event, is refused at once with the time of the load's end; the load starts for its next attempt.
 * `candidates` returns the servers that may run the request.
 */
export const awaitModel = async (
  context: GatewayContext, request: RoutedRequest, candidates: () => readonly KnownServer[], bounds: WaitBounds
): Promise<ModelWait> => {
  const { modelName, requestId } = request.caller
  const spec = findEngine(context.deployment(), request.serviceName)
  const model = spec?.models.find(candidate => candidate.name === modelName)
  if (!spec || !model) return { type: 'late', reason: 'the model is not of this service', retryAfterMs: NO_SERVER_RETRY_MS }
  const unmetForMs = context.unmetModels.note(modelName)
  const loader = findLoader(context, spec, model, candidates(), unmetForMs)
  if (!loader) {
    const mayLoad = await awaitDeparture(context, request, model, candidates, bounds)
    return mayLoad ? { type: 'changed' } : { type: 'late', reason: 'no agent can load the model', retryAfterMs: NO_SERVER_RETRY_MS }
  }
  const { agent } = loader
  const { serverId, address } = loader.server.entry
  const readyInMs = loader.readyInMs + storeWaitMs(context, loader, model)
  const readyAtMs = context.timers.nowMs() + readyInMs
  if (readyAtMs > bounds.lastSendMs()) return endWaitAtStop(context, loader, modelName, readyAtMs)
  const isNewColdLoad = loader.isCold && !loader.isLoading
  if (isNewColdLoad && !context.areCopiesKnown()) {
    return { type: 'late', reason: 'not all engines have reported their copies', retryAfterMs: UNKNOWN_COPIES_RETRY_MS }
  }
  if (isNewColdLoad && context.coldLoads.count() >= context.coldLoads.limit() + MAX_QUEUED_COLD_LOADS) {
    return { type: 'late', reason: 'the weight store is busy', retryAfterMs: readyInMs }
  }
  if (isNewColdLoad) context.coldLoads.noteRequested(address)
  const { isHopeless, wantLifetimeMs } = planWait({ readyInMs, leftMs: bounds.callerLeavesMs() - context.timers.nowMs() })
  context.events.emit(GatewayEvent.modelAwaited, {
    requestKey: requestId,
    model: modelName,
    peer: serverId,
    waitMs: Math.round(readyInMs),
    ageMs: Math.round(context.timers.nowMs() - loader.server.stateAsOfMs),
    count: context.coldLoads.count(),
    reason: isHopeless ? 'too late for this request' : 'waits'
  })
  const want = agent.want({ serverId, modelName, adapterName: '', waitingCount: 1, lateCount: 0, unmetForMs: Math.round(unmetForMs), timeLeftMs: wantLifetimeMs })
  if (isHopeless) {
    if (loader.isCold) context.refusedWants.add({ serviceName: request.serviceName, modelName, address, want })
    return { type: 'late', reason: 'the model comes too late', retryAfterMs: readyInMs }
  }
  const stopWatching = watchLoadsElsewhere(context, request, loader, candidates, want)
  const rechoose = (): Loader | undefined =>
    findLoader(context, spec, model, candidates(), unmetForMs)
  const stopChoosing = watchFasterLoader(context, spec, modelName, loader, rechoose, want)
  const stopLimiting = limitWait({
    stop: context.stop, timers: context.timers, lastSendMs: bounds.lastSendMs, readyAtMs, giveUp: () => want.drop(STOPPING_REASON)
  })
  const outcome = await awaitWant(request, want)
  stopWatching()
  stopChoosing()
  stopLimiting()
  if (outcome.reason === STOPPING_REASON) return endWaitAtStop(context, loader, modelName, readyAtMs)
  if (outcome.isReady || outcome.reason === MOVED_REASON) return { type: 'changed' }
  return { type: outcome.isLost ? 'lost' : 'late', reason: outcome.reason, retryAfterMs: NO_SERVER_RETRY_MS }
}
