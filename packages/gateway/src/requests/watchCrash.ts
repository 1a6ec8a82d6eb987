import { DEATH_CHECK_PERIOD_MS } from './constants.js'

import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from './types.js'

/**
 * Time within which an agent has told of its engine's death, or been heard again: it notices a death within 0.8 s, and is heard every 1.5 s
 * though nothing has changed.
 */
const DEATH_REPORT_MS = 2_500

/** An agent that is heard this long after a run broke off would know of its engine's death. */
const ALIVE_AFTER_MS = 500

const noteCrash = ({ crashes, crashNotifier }: GatewayContext, { requestHash }: RoutedRequest, { start }: KnownServer): void => {
  crashes.note(requestHash, start)
  crashNotifier.notify({ requestHash, start })
}

/**
 * Counts a run that broke off as a crash by its request when its engine has died, or when no agent says that it lives. One that the
 * router cut, as its caller left or its time was over, counts only where the engine is known to be dead.
 *
 * Guards against innocent requests that are turned away as deadly: engines that lost answers by resets and lived on, or that left as they had
 * announced, had callers who sent the same request twice refused for seconds.
 */
export const watchCrash = (context: GatewayContext, request: RoutedRequest, server: KnownServer, wasAborted: boolean): void => {
  const { directory, timers } = context
  const brokenMs = timers.nowMs()
  if (directory.hasExitedGracefully(server.start, brokenMs)) return
  if (directory.isDead(server.start)) return noteCrash(context, request, server)
  if (wasAborted) return
  const settle = (hasCrashed: boolean): void => {
    stopChecking()
    stopWaiting()
    if (hasCrashed) noteCrash(context, request, server)
  }
  const stopChecking = timers.every(DEATH_CHECK_PERIOD_MS, () => { if (directory.isDead(server.start)) settle(true) })
  const stopWaiting = timers.after(DEATH_REPORT_MS, () => { settle(directory.lastMessageMs(server.entry.address) < brokenMs + ALIVE_AFTER_MS) })
}
