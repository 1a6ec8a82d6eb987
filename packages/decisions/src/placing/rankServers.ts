import { FAILURE_COST_MS, OTHER_DATA_CENTRE_COST_MS, PROMPT_TOKENS_PER_MS } from './constants.js'
import { batchWaitMs } from './batchWait.js'

import type { ServerView } from './types.js'

/** What the request asks for. */
export interface RankedRequest {
  readonly promptTokens: number
  readonly dataCentre: string
}

/** Expected time to the first event at a server, with the price of its failures. */
export const estimateFirstEventMs = (request: RankedRequest, server: ServerView): number => {
  const ownTokens = Math.max(0, request.promptTokens - server.cachedTokens)
  const promptMs = (server.pendingTokens + ownTokens) / PROMPT_TOKENS_PER_MS
  const distanceMs = server.dataCentre === request.dataCentre ? 0 : OTHER_DATA_CENTRE_COST_MS
  return promptMs + batchWaitMs(server) + server.adapterWaitMs + distanceMs + server.failureShare * FAILURE_COST_MS
}

/**
 * Servers by expected time to the first event, the best first.
 *
 * Load pattern: long prompts that share their beginnings, on engines that compute a prompt in 60 to 230 ms and serve
 * it within 600. Without it two long prompts meet on one engine while the next is idle, and a shared beginning is
 * computed again on each engine. Servers that are equal keep the order in which they were given.
 */
export const rankServers = (request: RankedRequest, servers: readonly ServerView[]): readonly ServerView[] => {
  const costs = new Map(servers.map(server => [server.serverId, estimateFirstEventMs(request, server)]))
  const costOf = (server: ServerView): number => costs.get(server.serverId) ?? 0
  return [...servers].sort((a, b) => costOf(a) - costOf(b))
}
