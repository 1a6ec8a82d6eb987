import { sleep } from '@figmount/base'
import { planWait } from '@figmount/decisions'

import { GatewayEvent } from '../events.js'
import { TURN_CHECK_PERIOD_MS } from './constants.js'

import type { KnownServer } from '../directory/types.js'
import type { GatewayContext, RoutedRequest } from '../requests/types.js'
import type { Turn } from './createServerLimits.js'

/** What becomes of a request that no server may get now. */
export type HeldBack =
  /** No server could run it. */
  | { readonly type: 'noServer' }
  /** It has waited for a while; its turn may have come, or another server may take it. */
  | { readonly type: 'waited' }
  /** Its turn comes in `waitMs`, too late for its caller. */
  | { readonly type: 'hopeless', readonly waitMs: number }

/**
 * Holds a request back until its turn at one of the limited servers, for a short while at a time; its caller leaves in `leftMs`.
 * `noteWait` is called with the expected wait.
 */
export const holdBack = async (
  context: GatewayContext, request: RoutedRequest, turn: Turn, servers: readonly KnownServer[], leftMs: number, noteWait: (waitMs: number) => void
): Promise<HeldBack> => {
  const [first] = servers
  if (!first) {
    turn.end()
    return { type: 'noServer' }
  }
  const waitMs = Math.min(...servers.map(({ start }) => turn.waitMs(start)))
  const { isHopeless } = planWait({ readyInMs: waitMs, leftMs })
  const isFirstWait = !isHopeless && turn.waitFor(servers.map(({ start }) => start))
  if (isHopeless || isFirstWait) {
    context.events.emit(GatewayEvent.requestHeldBack, {
      requestKey: request.caller.requestId,
      model: request.caller.modelName,
      peer: first.entry.serverId,
      count: servers.length,
      waitMs: Math.round(waitMs),
      reason: isHopeless ? 'too late for this request' : 'waits'
    })
  }
  if (isHopeless) {
    turn.end()
    return { type: 'hopeless', waitMs }
  }
  noteWait(waitMs)
  await sleep(context.timers, Math.min(waitMs, TURN_CHECK_PERIOD_MS), request.callerLeft)
  return { type: 'waited' }
}
