import { busyMsOf, heldModel } from '../placing/viewServers.js'

import type { Unsubscribe } from '@figmount/base'
import type { AgentState, EngineSpec } from '@figmount/fleet'
import type { OpenWant } from '../agents/types.js'
import type { Loader } from '../placing/findLoader.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** Why a want was taken back. */
export const MOVED_REASON = 'another engine has the model sooner'

/** Time between two looks whether another engine would have the model sooner. */
const RECHOOSE_PERIOD_MS = 250

/** Another engine must have the model this much sooner: a want that moves loses its place, and states are a tenth of a second old. */
const RECHOOSE_GAIN_MS = 400

/** The engine's agent says that it holds the model or has begun to load it. */
const hasOrIsLoading = (state: AgentState, modelName: string, hasOwnBegun: () => boolean): boolean => {
  if (!state.isUp || state.isDraining) return false
  if (state.models.some(model => model.name === modelName) && !state.leavingModels.includes(modelName)) return true
  return state.loadingModel === modelName && state.loadingForMs > 0 && !hasOwnBegun()
}

/**
 * Guards against a model that is loaded twice for one burst: routers that know different states choose different engines.
 * A router that hears of a load that has begun elsewhere takes its own want back, which the slower agent then forgets.
 */
export const watchLoadsElsewhere = (context: GatewayContext, request: RoutedRequest, loader: Loader, want: OpenWant): Unsubscribe => {
  const { modelName } = request.caller
  const { serverId, address } = loader.server.entry
  const hasOwnBegun = (): boolean => {
    const own = context.directory.find(serverId)
    return own?.state?.loadingModel === modelName || (own !== undefined && heldModel(own, modelName) !== undefined)
  }
  return context.directory.onState((otherAddress, state) => {
    if (otherAddress === address) return
    if (!hasOrIsLoading(state, modelName, hasOwnBegun)) return
    const isServing = context.directory.serving(request.serviceName).some(server => server.entry.address === otherAddress)
    if (isServing) want.drop(MOVED_REASON)
  })
}

/**
 * Moves a want to an engine that has the model sooner, while its load has not begun.
 *
 * Load pattern: rare models that take turns. What an engine is expected to do when a request comes is not what it does: streams
 * last longer, other models are wanted there. Kept at the engine that was first chosen, callers wait while others with a copy
 * have nothing to do.
 */
export const watchFasterLoader = (
  context: GatewayContext, spec: EngineSpec, modelName: string, chosen: Loader, choose: () => Loader | undefined, want: OpenWant
): Unsubscribe =>
  context.timers.every(RECHOOSE_PERIOD_MS, () => {
    const own = context.directory.find(chosen.server.entry.serverId)
    if (!own || own.state?.loadingModel === modelName || !own.state?.queuedModels.includes(modelName)) return
    const next = choose()
    if (!next || next.server.entry.serverId === own.entry.serverId || (next.isCold && !next.isLoading)) return
    const ownMs = busyMsOf(spec, own, modelName, context.timers.nowMs())
    if (ownMs - next.readyInMs > RECHOOSE_GAIN_MS) want.drop(MOVED_REASON)
  })
