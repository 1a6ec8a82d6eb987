import { DEATH_CHECK_PERIOD_MS } from './constants.js'
import { noteCrash } from './noteCrash.js'

import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/**
 * Time within which an agent reports its engine's death or sends another message: it detects a death within 0.8 s, and sends a
 * message every 1.5 s even if nothing has changed.
 */
const DEATH_REPORT_MS = 2_500

/** A message from the agent this long after a run was interrupted, without a report of its engine's death, proves the engine alive. */
const ALIVE_AFTER_MS = 500

const DEAD_REASON = 'reported dead'

/** A run that ended without a complete answer. */
interface BrokenRun {
  readonly sentMs: number
  /** The server has written on the request for a while: it has not died of it. */
  readonly isProven: boolean
}

/**
 * Counts an interrupted run as a crash caused by its request if the engine has died, or if no agent confirms that it is alive. A run
 * that the router aborted, because its caller left or its deadline passed, counts only if the engine is already known to be dead.
 *
 * Guards against harmless requests that are refused as the cause of crashes: engines that lost answers by connection resets, or that
 * left as announced, had callers whose resent requests were refused for seconds.
 */
export const watchCrash = (context: GatewayContext, request: RoutedRequest, server: KnownServer, { sentMs, isProven }: BrokenRun, wasAborted: boolean): void => {
  const { directory, timers } = context
  const brokenMs = timers.nowMs()
  if (directory.hasExitedGracefully(server.start, brokenMs)) return
  const noteDeath = (reason: string): void => {
    noteCrash(context, request, server.start, brokenMs, reason)
    if (!isProven) context.partGuard.noteDeath(request.caller, server.start, sentMs, brokenMs)
  }
  if (directory.isDead(server.start)) return noteDeath(DEAD_REASON)
  if (wasAborted) return
  const settle = (reason: string | undefined): void => {
    stopChecking()
    stopWaiting()
    if (reason) noteDeath(reason)
  }
  const isAgentSilent = (): boolean => directory.lastMessageMs(server.entry.address) < brokenMs + ALIVE_AFTER_MS
  const stopChecking = timers.every(DEATH_CHECK_PERIOD_MS, () => { if (directory.isDead(server.start)) settle(DEAD_REASON) })
  const stopWaiting = timers.after(DEATH_REPORT_MS, () => { settle(isAgentSilent() ? 'no agent reports' : undefined) })
}
