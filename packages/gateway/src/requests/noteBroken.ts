import { GatewayEvent } from '../events.js'
import { shortHash } from './shortHash.js'

import type { GatewayContext, RoutedRequest } from './types.js'

/** Logs a run that ended without a complete answer, with the number of server crashes known for its request. */
export const noteBroken = (context: GatewayContext, request: RoutedRequest, serverId: string, reason: string, sentMs: number): void => {
  context.events.emit(GatewayEvent.runBroken, {
    requestKey: request.caller.requestId,
    requestHash: shortHash(request.requestHash),
    peer: serverId,
    reason,
    count: context.crashes.crashCount(request.requestHash),
    durationMs: Math.round(context.timers.nowMs() - sentMs)
  })
}
