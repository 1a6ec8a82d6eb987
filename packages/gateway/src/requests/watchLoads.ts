import { hasBegunLoading, isHolding } from '../placing/stateOfModel.js'
import { busyMsOf, heldModel } from '../placing/viewServers.js'

import type { Unsubscribe } from '@figmount/base'
import type { EngineSpec } from '@figmount/fleet'
import type { OpenWant } from '../agents/types.js'
import type { KnownServer } from '../directory/types.js'
import type { Loader } from '../placing/findLoader.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** Reason with which a want is withdrawn. */
export const MOVED_REASON = 'another engine has the model sooner'

/** How often a router checks whether another engine would have the model sooner. */
const RECHOOSE_PERIOD_MS = 250

/** Minimum gain for moving to another engine: a moved want loses its place in the queue, and states are a tenth of a second old. */
const RECHOOSE_GAIN_MS = 400

/** The engine at the address takes so few requests that waiting for it may have been ruled out. */
const isLimitedAt = ({ directory, serverLimits }: GatewayContext, address: string): boolean =>
  directory.entries().some(({ serverId }) => {
    const server = directory.find(serverId)
    return server !== undefined && server.entry.address === address && serverLimits.isLimited(server.start)
  })

/**
 * Withdraws a want when another engine has started to load the same model.
 *
 * Guards against a model that is loaded twice for one burst: routers with different views of the state choose different engines. The
 * agent that has not started to load drops the withdrawn want.
 */
export const watchLoadsElsewhere = (context: GatewayContext, request: RoutedRequest, loader: Loader, candidates: () => readonly KnownServer[], want: OpenWant): Unsubscribe => {
  const { modelName } = request.caller
  const { serverId, address } = loader.server.entry
  const hasOwnBegun = (): boolean => {
    const own = context.directory.find(serverId)
    return own?.state?.loadingModel === modelName || (own !== undefined && heldModel(own, modelName) !== undefined)
  }
  return context.directory.onState((otherAddress, state) => {
    if (otherAddress === address) return
    const isSooner = (isHolding(state, modelName) && !isLimitedAt(context, otherAddress)) || (hasBegunLoading(state, modelName) && !hasOwnBegun())
    if (isSooner && candidates().some(({ entry }) => entry.address === otherAddress)) want.drop(MOVED_REASON)
  })
}

/**
 * Moves a want to an engine that will have the model sooner, as long as its load has not started.
 *
 * Load pattern: rare models that take turns. Estimates made when a request arrives become wrong: streams last longer, and other models
 * are requested on the same engine. Tied to their first choice, callers would wait while other engines with a copy are idle.
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
