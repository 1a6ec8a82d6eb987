import { rankByRendezvous } from '@figmount/base'

import { FAILURE_COST_MS } from './constants.js'
import { countLateWhileAbsent } from './lateRequests.js'

import type { LoaderView, LoadTimes } from './types.js'

/** Cost of one request that becomes late, expressed as a wait. */
const LOSS_COST_MS = 200

/** Cost per model that the server holds. Of two otherwise equal servers the emptier one is chosen, which leaves more options open. */
const HELD_COST_MS = 10

/**
 * Weight of the load's duration on a server whose models use the engine's full prompt rate, because adapters of these models
 * cannot be loaded until the load ends.
 */
const BUSY_SHARE = 0.5

const FULL_RATE_TOKENS_PER_S = 40_000

/**
 * Additional cost of a load from the weight store: the engine accepts no other order meanwhile, and once more than a few such
 * loads run at the same time, each slows down the others.
 */
const COLD_COST_MS = 3_000

/** Minimum saving that justifies loading a model that is already being loaded elsewhere: a load from a local copy takes about as long. */
const DUPLICATE_LOAD_COST_MS = 500

/** The same for a load that is queued but has not started: messages of routers cross within a tenth of a second. */
const DUPLICATE_QUEUED_LOAD_COST_MS = 150

/** Servers whose costs differ by no more than this count as equal: the states that routers see differ by up to a tenth of a second. */
const EQUAL_COST_MS = 60

/** The chosen server and the expected time until it has the model. */
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

const duplicateLoadCostMs = (servers: readonly LoaderView[]): number => {
  if (servers.some(server => server.hasBegun)) return DUPLICATE_LOAD_COST_MS
  return servers.some(server => server.isLoading) ? DUPLICATE_QUEUED_LOAD_COST_MS : 0
}

const costOf = (times: LoadTimes, server: LoaderView, duplicateMs: number): number => {
  const readyMs = readyInMs(times, server)
  const lateMs = countLateWhileAbsent(times.requestsPerS, readyMs) * LOSS_COST_MS
  const waitMs = readyMs + lateMs + server.failureShare * FAILURE_COST_MS
  if (server.isLoading) return waitMs
  const blockedMs = loadMs(times, server) * BUSY_SHARE * Math.min(1, server.heldTokensPerS / FULL_RATE_TOKENS_PER_S)
  const coldMs = server.isInMemory || server.isOnDisk ? 0 : COLD_COST_MS
  return waitMs + duplicateMs + coldMs + blockedMs + server.evictionLoss * LOSS_COST_MS + server.heldCount * HELD_COST_MS
}

/**
 * Chooses the server that will have the model soonest, weighed against the cost for callers of its other models.
 *
 * Load pattern: many rarely used models, more than the engines can hold. Without this choice a model is loaded from the weight
 * store, which takes seconds, although another engine has a copy on its disk. Every request that arrives before the load ends
 * is late, not only the one that triggers it. A burst at many routers must lead to a single load: a load that has started is
 * joined, and among servers of about equal cost all routers choose the same one.
 */
export const chooseLoader = (times: LoadTimes, servers: readonly LoaderView[]): LoaderChoice | undefined => {
  const duplicateMs = duplicateLoadCostMs(servers)
  const costs = new Map(servers.map(server => [server.serverId, costOf(times, server, duplicateMs)]))
  const leastMs = Math.min(...costs.values())
  const equal = servers.filter(server => (costs.get(server.serverId) ?? Infinity) <= leastMs + EQUAL_COST_MS)
  const [first] = rankByRendezvous(times.name, equal.map(server => server.serverId))
  const chosen = equal.find(server => server.serverId === first)
  return chosen && { serverId: chosen.serverId, readyInMs: readyInMs(times, chosen) }
}
