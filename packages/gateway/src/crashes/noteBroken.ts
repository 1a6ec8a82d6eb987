import { GatewayEvent } from '../events.js'
import { sharedParts } from './sharedParts.js'
import { shortHash } from './shortHash.js'

import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** Logs a run that ended without a complete answer, with the number of server crashes known for its request. */
export const noteBroken = (context: GatewayContext, request: RoutedRequest, serverId: string, reason: string, waitedMs: number): void => {
  context.events.emit(GatewayEvent.runBroken, {
    requestKey: request.caller.requestId,
    requestHash: shortHash(request.identity),
    promptParts: sharedParts(request.caller),
    peer: serverId,
    reason,
    count: context.crashes.countsOf(request.identity).ownCount,
    durationMs: Math.round(waitedMs)
  })
}
