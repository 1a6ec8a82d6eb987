import { FAILURE_COST_MS } from './constants.js'

import type { LoaderView, LoadTimes } from './types.js'

/** Time that one lost request a second weighs, in ms of a load. */
const LOSS_COST_MS = 400

/** Time that each model held weighs: of two servers the emptier one keeps more choices open. */
const HELD_COST_MS = 10

/**
 * Time that a load's length weighs on a server that is busy, at one engine's full prompt rate: adapters of its models
 * wait for the load's end.
 */
const BUSY_SHARE = 0.5

const FULL_RATE_TOKENS_PER_S = 40_000

/**
 * Time that a load from the weight store weighs besides its own: the engine takes no other order meanwhile, and beyond a
 * few at once each of them slows the others.
 */
const COLD_COST_MS = 3_000

/** A server and the time until it has the model. */
export interface LoaderChoice {
  readonly serverId: string
  readonly readyInMs: number
}

const loadMs = (times: LoadTimes, server: LoaderView): number => {
  if (server.isInMemory) return times.memoryLoadMs
  if (server.isOnDisk) return times.diskLoadMs
  return Math.max(0, server.coldWaitMs - server.busyMs) + times.coldLoadMs
}

/**
 * The server that has the model soonest, weighed against what its other callers lose.
 *
 * Load pattern: many models of which each is asked for now and then, more than the engines hold. Without it a model
 * is loaded from the weight store in 6 to 13 s although another engine has a copy on its disk and needs 0.4 s. A load
 * under way counts first, so that a burst at many routers leads to one load.
 */
export const chooseLoader = (times: LoadTimes, servers: readonly LoaderView[]): LoaderChoice | undefined => {
  let best: LoaderChoice | undefined
  let bestCost = Infinity
  for (const server of servers) {
    const readyInMs = server.busyMs + (server.isLoading ? 0 : server.roomMs + loadMs(times, server))
    const blockedMs = loadMs(times, server) * BUSY_SHARE * Math.min(1, server.heldTokensPerS / FULL_RATE_TOKENS_PER_S)
    const coldMs = server.isLoading || server.isInMemory || server.isOnDisk ? 0 : COLD_COST_MS
    const loss = server.isLoading ? 0 : server.evictionLoss * LOSS_COST_MS + server.heldCount * HELD_COST_MS + blockedMs
    const cost = readyInMs + coldMs + loss + server.failureShare * FAILURE_COST_MS
    if (cost >= bestCost) continue
    bestCost = cost
    best = { serverId: server.serverId, readyInMs }
  }
  return best
}
