import type { Socket } from 'node:net'

/**
 * Whether a connection that Node has ended as after an orderly close was reset. To be asked in the first listener of `end`.
 *
 * Guards against a reset that arrives together with the last bytes: Node 20 reports the end of the bytes and no error. The system
 * then knows no peer any more, while it still knows that of a connection that the peer has closed in order. Node remembers an address
 * that was read before, so nothing may read it until then.
 */
export const wasReset = (socket: Socket): boolean => socket.remoteAddress === undefined

/** Watches a connection until its end; the function that it returns tells then whether the connection was reset. */
export const watchReset = (socket: Socket): (() => boolean) => {
  let isReset = false
  socket.prependOnceListener('end', () => { isReset = wasReset(socket) })
  return () => isReset
}
