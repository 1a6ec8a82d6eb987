import { BaseEvent } from '@figmount/base'

import type { EventLog } from '@figmount/base'

/**
 * Takes one message from a peer; what it throws becomes an event.
 *
 * Guards against a message that this build does not know, from a newer peer or a faulty one: the
 * task of the link would end with it and nobody would dial again. The message is dropped; a frame
 * that is missing is asked for as after any other loss.
 */
export const takeSafely = <Message extends { readonly type: string }>(
  events: EventLog, peer: string, message: Message, take: (message: Message) => void
): void => {
  try {
    take(message)
  } catch (error) {
    events.emit(BaseEvent.badInput, { peer, step: 'links.take', detail: String(message.type), reason: (error as Error).message })
  }
}
