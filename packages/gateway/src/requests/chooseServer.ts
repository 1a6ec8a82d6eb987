import { estimateFirstEventMs, estimateSlotWaitMs, rankServers } from '@figmount/decisions'

import { viewHolders } from '../placing/viewServers.js'

import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/** The server with the shortest expected time to a request's first event. */
export interface ServerChoice {
  readonly server: KnownServer
  /** Time until the request's adapter is loaded; 0 if it is loaded already. */
  readonly adapterWaitMs: number
  /** Prompt tokens that are not in the server's cache. */
  readonly newTokens: number
  /** Time until the engine has a free slot for the request. */
  readonly slotWaitMs: number
}

/** Chooses among the servers that hold the request's model; undefined if none does. */
export const chooseServer = (context: GatewayContext, request: RoutedRequest, servers: readonly KnownServer[]): ServerChoice | undefined => {
  const views = viewHolders(context.directory, request, servers, context.timers.nowMs())
  const { promptTokens } = request.caller
  const ranked = { promptTokens, dataCentre: context.dataCentre }
  const [best] = rankServers(ranked, views)
  const server = servers.find(candidate => candidate.entry.serverId === best?.serverId)
  if (!best || !server) return undefined
  const idle = { ...best, pendingTokens: 0, startingCount: 0, runningCount: 0 }
  context.queueScaler.note(context, request, servers, estimateFirstEventMs(ranked, best) - estimateFirstEventMs(ranked, idle))
  const slotWaitMs = estimateSlotWaitMs({
    slotCount: server.entry.slots,
    runningCount: best.runningCount,
    startingCount: best.startingCount + server.ownStartingCount,
    occupancyMs: context.occupancy.meanMs()
  })
  return { server, adapterWaitMs: best.adapterWaitMs, newTokens: Math.max(0, promptTokens - best.cachedTokens), slotWaitMs }
}
