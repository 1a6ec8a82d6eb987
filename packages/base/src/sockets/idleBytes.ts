import type { Socket } from 'node:net'

const destroyOnData = function (this: Socket): void {
  this.destroy()
}

/**
 * Closes a kept connection that receives bytes before its next request.
 *
 * Guards against bytes that belong to no request: they would be taken for the answer to the next one, or for a part of it.
 */
export const closeOnIdleBytes = (socket: Socket): void => {
  socket.on('data', destroyOnData)
}

/** Lets a connection carry its next request. */
export const expectBytes = (socket: Socket): void => {
  socket.off('data', destroyOnData)
}
