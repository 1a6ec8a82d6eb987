import { GatewayEvent } from '../events.js'
import { shortHash } from './shortHash.js'

import type { GatewayContext, RoutedRequest } from '../requests/types.js'

/** A server has answered the request completely, so servers do not die of it. Other routers are told if they may believe that they do. */
export const noteAnswer = ({ breakWatch, crashes, crashNotifier, events }: GatewayContext, { caller, identity }: RoutedRequest): void => {
  breakWatch.forget(identity)
  const answer = { identity, ageMs: 0 }
  if (!crashes.noteAnswer(answer)) return
  crashNotifier.notify({ answered: [answer] })
  events.emit(GatewayEvent.crashDisproved, { requestKey: caller.requestId, requestHash: shortHash(identity) })
}
