import { sleep } from '@figmount/base'

import { AGENTS_CHECK_PERIOD_MS, AGENTS_WAIT_SHARE } from './constants.js'

import type { GatewayContext, RoutedRequest } from './types.js'

/**
 * Waits while a router that has just started hears from the agents what it has no other way to know: deaths under requests and parts of
 * prompts, versions of streams, copies of models.
 *
 * Guards against a router that sends on what has killed engines because callers reach it before the agents do.
 */
export const awaitAgents = async ({ timers, haveAgentsReported }: GatewayContext, { callerLeft }: RoutedRequest, callerLeavesMs: number): Promise<void> => {
  const startMs = timers.nowMs()
  const lastMs = startMs + (callerLeavesMs - startMs) * AGENTS_WAIT_SHARE
  while (!haveAgentsReported()) {
    if (callerLeft.aborted || timers.nowMs() + AGENTS_CHECK_PERIOD_MS > lastMs) return
    await sleep(timers, AGENTS_CHECK_PERIOD_MS, callerLeft)
  }
}
