import { rankByRendezvous } from '@figmount/base'

import { FAILURE_COST_MS } from './constants.js'
import { lateWhileAbsent } from './lateRequests.js'

import type { LoaderView, LoadTimes } from './types.js'

/** Time that one request made late weighs, in ms of a wait. */
const LOSS_COST_MS = 200

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

/** A second load of a model that is being loaded must save this much: a copy at hand takes about as long. */
const SECOND_LOAD_COST_MS = 500

/** The same for a load that is asked for and not begun: routers' messages cross within a tenth of a second. */
const SECOND_WANT_COST_MS = 150

/** Servers whose costs differ by less are equal: routers know states that are up to a tenth of a second apart. */
const EQUAL_COST_MS = 60

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

const readyInMs = (times: LoadTimes, server: LoaderView): number =>
  server.busyMs + (server.isLoading ? 0 : server.roomMs + loadMs(times, server))

const secondLoadMs = (servers: readonly LoaderView[]): number => {
  if (servers.some(server => server.hasBegun)) return SECOND_LOAD_COST_MS
  return servers.some(server => server.isLoading) ? SECOND_WANT_COST_MS : 0
}

const costOf = (times: LoadTimes, server: LoaderView, secondMs: number): number => {
  const readyMs = readyInMs(times, server)
  const lateMs = lateWhileAbsent(times.requestsPerS, readyMs) * LOSS_COST_MS
  const waitMs = readyMs + lateMs + server.failureShare * FAILURE_COST_MS
  if (server.isLoading) return waitMs
  const blockedMs = loadMs(times, server) * BUSY_SHARE * Math.min(1, server.heldTokensPerS / FULL_RATE_TOKENS_PER_S)
  const coldMs = server.isInMemory || server.isOnDisk ? 0 : COLD_COST_MS
  return waitMs + secondMs + coldMs + blockedMs + server.evictionLoss * LOSS_COST_MS + server.heldCount * HELD_COST_MS
}

/**
 * The server that has the model soonest, weighed against what its other callers lose.
 *
 * Load pattern: many models of which each is asked for now and then, more than the engines hold. Without it a model
 * is loaded from the weight store in seconds although another engine has a copy on its disk.
 *
 * All requests that come until the model is there are late, not only the one that asks. A burst at many routers leads to one
 * load: one that has begun is joined, and of servers that are about equal all routers take the same.
 */
export const chooseLoader = (times: LoadTimes, servers: readonly LoaderView[]): LoaderChoice | undefined => {
  const secondMs = secondLoadMs(servers)
  const costs = new Map(servers.map(server => [server.serverId, costOf(times, server, secondMs)]))
  const leastMs = Math.min(...costs.values())
  const equal = servers.filter(server => (costs.get(server.serverId) ?? Infinity) <= leastMs + EQUAL_COST_MS)
  const [first] = rankByRendezvous(times.name, equal.map(server => server.serverId))
  const chosen = equal.find(server => server.serverId === first)
  return chosen && { serverId: chosen.serverId, readyInMs: readyInMs(times, chosen) }
}
