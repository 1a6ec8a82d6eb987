import { BaseEvent } from '@figmount/base'

import type { EventLog } from '@figmount/base'
import type { Link } from './types.js'

/**
 * Gives each message of a link to `take` until the link ends. A message that `take` fails on closes the link, with an event, and nothing
 * else: the peer may open it again.
 */
export const serveMessages = async <Send, Receive>(link: Link<Send, Receive>, events: EventLog, take: (message: Receive) => void): Promise<void> => {
  for await (const message of link.received) {
    try {
      take(message)
    } catch (error) {
      events.emit(BaseEvent.badInput, { peer: link.peer, step: 'links.take', reason: (error as Error).message })
      return link.close('a message could not be taken')
    }
  }
}
