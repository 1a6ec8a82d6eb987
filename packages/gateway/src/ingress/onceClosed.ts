import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Calls back once a request is over: its answer was given, or its connection is gone.
 *
 * Guards against a caller that sends a second request before it has the first answer and leaves: Node never tells the
 * second response of it, which has not had the connection yet. The request counted as open for ever, and was served on.
 */
export const onceClosed = ({ socket }: IncomingMessage, response: ServerResponse, closed: () => void): void => {
  let isClosed = false
  const close = (): void => {
    // One end of a connection tells both.
    if (isClosed) return
    isClosed = true
    response.off('close', close)
    socket.off('close', close)
    closed()
  }
  response.once('close', close)
  socket.once('close', close)
}
