import { sleep } from '@figmount/base'
import { planWait, RUNNING_UNLOAD_MS } from '@figmount/decisions'

import { preferUnlimited } from '../placing/preferUnlimited.js'

import type { ModelSpec } from '@figmount/fleet'
import type { KnownServer } from '../directory/types.js'
import type { WaitBounds } from './awaitWant.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** How often a request whose model is being unloaded looks for an engine that takes it. */
const CHECK_PERIOD_MS = 50

const isLeaving = ({ state }: KnownServer, modelName: string): boolean => state?.leavingModels.includes(modelName) === true

/** Least time until an engine that unloads the model has it again. */
const reloadMs = (model: ModelSpec, servers: readonly KnownServer[]): number => {
  const hasCopy = servers.some(({ state }) => state && [...state.inMemory, ...state.onDisk].includes(model.name))
  return hasCopy ? Math.min(model.memoryLoadMs, model.diskLoadMs) : model.coldLoadMs
}

/**
 * Waits while the only engines that could load a model are unloading it, for as long as an unload is expected to take. True if an engine
 * may load it now or holds it; false at once if no engine unloads it, or if it would come back too late.
 *
 * Load pattern: more models than the only engine of a service can hold. It is asked for the model again once the unload has ended: asked
 * sooner, it would never unload a model that is always in use.
 */
export const awaitDeparture = async (
  { timers, serverLimits }: Pick<GatewayContext, 'timers' | 'serverLimits'>, { callerLeft }: Pick<RoutedRequest, 'callerLeft'>, model: ModelSpec, candidates: () => readonly KnownServer[], bounds: WaitBounds
): Promise<boolean> => {
  const isWaiting = (): boolean => {
    const known = preferUnlimited({ serverLimits }, candidates()).filter(({ state }) => state !== undefined)
    return known.length > 0 && known.every(server => isLeaving(server, model.name))
  }
  if (!isWaiting()) return false
  const leftMs = bounds.callerLeavesMs() - timers.nowMs()
  if (planWait({ readyInMs: reloadMs(model, candidates()), leftMs }).isHopeless) return false
  const untilMs = timers.nowMs() + RUNNING_UNLOAD_MS
  while (isWaiting()) {
    if (callerLeft.aborted || timers.nowMs() >= Math.min(untilMs, bounds.lastSendMs())) return false
    await sleep(timers, CHECK_PERIOD_MS, callerLeft)
  }
  return true
}
