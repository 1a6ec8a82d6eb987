import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Calls back once a request is over: its answer was sent, or its connection is closed.
 *
 * Guards against a caller that pipelines a second request and leaves before the first answer: Node emits no close event on the second
 * response, which was not assigned the connection yet. The request stayed counted as open and was still served.
 */
export const onceClosed = ({ socket }: IncomingMessage, response: ServerResponse, closed: () => void): void => {
  let isClosed = false
  const close = (): void => {
    // The end of a connection may trigger both events.
    if (isClosed) return
    isClosed = true
    response.off('close', close)
    socket.off('close', close)
    closed()
  }
  response.once('close', close)
  socket.once('close', close)
}
