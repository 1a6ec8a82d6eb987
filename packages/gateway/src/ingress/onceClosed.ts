import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Events that end a caller's connection. Its close comes a turn of the event loop after its end, and Node answers nothing between them. */
const END_EVENTS = ['end', 'error', 'close'] as const

/** What to call once a connection ends. */
const closersBySocket = new WeakMap<Socket, Set<() => void>>()

const closersOf = (socket: Socket): Set<() => void> => {
  const known = closersBySocket.get(socket)
  if (known) return known
  const closers = new Set<() => void>()
  closersBySocket.set(socket, closers)
  const closeAll = (): void => { for (const close of [...closers]) close() }
  for (const event of END_EVENTS) socket.once(event, closeAll)
  return closers
}

/**
 * Calls back once a request is over: its answer was sent, or its caller has closed or reset the connection.
 *
 * Guards against a caller that pipelines a second request and leaves before the first answer: Node emits no close event on the second
 * response, which was not assigned the connection yet. The request stayed counted as open and was still served.
 */
export const onceClosed = ({ socket }: IncomingMessage, response: ServerResponse, closed: () => void): void => {
  const closers = closersOf(socket)
  const close = (): void => {
    response.off('close', close)
    // The end of a connection may trigger this and the response's own event.
    if (closers.delete(close)) closed()
  }
  response.once('close', close)
  closers.add(close)
}
