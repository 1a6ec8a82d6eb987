import type { IncomingMessage, ServerResponse } from 'node:http'

/** Events that end a connection, in their order; after the first two its caller gets no answer. */
const END_EVENTS = ['end', 'error', 'close'] as const

/**
 * Calls back once a request is over: its answer was sent, or its caller has closed or reset the connection.
 *
 * Guards against a caller that pipelines a second request and leaves before the first answer: Node emits no close event on the second
 * response, which was not assigned the connection yet. The request stayed counted as open and was still served.
 */
export const onceClosed = ({ socket }: IncomingMessage, response: ServerResponse, closed: () => void): void => {
  let isClosed = false
  const close = (): void => {
    // The end of a connection triggers several of the events.
    if (isClosed) return
    isClosed = true
    response.off('close', close)
    for (const event of END_EVENTS) socket.off(event, close)
    closed()
  }
  response.once('close', close)
  for (const event of END_EVENTS) socket.once(event, close)
}
