import { BaseEvent } from '@figmount/base'

import type { EventLog } from '@figmount/base'

/**
 * Passes one message of a peer to its handler and turns an exception into an event.
 *
 * A message may be unknown to this version or malformed. Without this, the exception would end the
 * link's task and no redial would follow. The message is dropped; missing frames are requested again
 * as after any other loss.
 */
export const receiveSafely = <Message extends { readonly type: string }>(
  events: EventLog, peer: string, message: Message, receive: (message: Message) => void
): void => {
  try {
    receive(message)
  } catch (error) {
    events.emit(BaseEvent.badInput, { peer, step: 'links.take', detail: String(message.type), reason: (error as Error).message })
  }
}
