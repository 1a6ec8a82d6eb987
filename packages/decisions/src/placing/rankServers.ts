import { FAILURE_COST_MS, OTHER_DATA_CENTRE_COST_MS, PROMPT_TOKENS_PER_MS } from './constants.js'
import { estimateBatchDelayMs } from './estimateBatchDelay.js'

import type { ServerView } from './types.js'

/** Properties of a request that the ranking depends on. */
export interface RankedRequest {
  readonly promptTokens: number
  readonly dataCentre: string
}

/** Expected time to the first event at a server, plus the expected cost of a failure. */
export const estimateFirstEventMs = (request: RankedRequest, server: ServerView): number => {
  const ownTokens = Math.max(0, request.promptTokens - server.cachedTokens)
  const promptMs = (server.pendingTokens + ownTokens) / PROMPT_TOKENS_PER_MS
  const distanceMs = server.dataCentre === request.dataCentre ? 0 : OTHER_DATA_CENTRE_COST_MS
  return promptMs + estimateBatchDelayMs(server) + server.adapterWaitMs + distanceMs + server.failureShare * FAILURE_COST_MS
}

/**
 * Sorts servers by expected time to the first event, lowest first. Servers of equal cost keep their order.
 *
 * Load pattern: long prompts with shared prefixes, on engines that compute a prompt in 60 to 230 ms and serve the request within
 * 600 ms. Without this order two long prompts meet on one engine while another is idle, and a shared prefix is computed again
 * on each engine.
 */
export const rankServers = (request: RankedRequest, servers: readonly ServerView[]): readonly ServerView[] => {
  const costs = new Map(servers.map(server => [server.serverId, estimateFirstEventMs(request, server)]))
  const costOf = (server: ServerView): number => costs.get(server.serverId) ?? 0
  return [...servers].sort((a, b) => costOf(a) - costOf(b))
}
