/** Connections that wait until the process holds less. */
export interface RoomQueue {
  readonly wait: (connection: object, proceed: () => void) => void
  /** Forgets a connection that has gone: what its callback holds is no longer counted. */
  readonly leave: (connection: object) => void
  /** Lets those that wait go on in the next turn, as long as there is room. */
  readonly proceedSoon: () => void
}

/** Creates the queue of one process; those that wait go on in the order in which they began to. */
export const createRoomQueue = (hasRoom: () => boolean): RoomQueue => {
  const waiting = new Map<object, () => void>()
  let isProceeding = false

  const proceed = (): void => {
    isProceeding = false
    for (const [connection, callback] of waiting) {
      if (!hasRoom()) return
      waiting.delete(connection)
      callback()
    }
  }

  return {
    wait: (connection, callback) => { waiting.set(connection, callback) },
    leave: connection => { waiting.delete(connection) },
    proceedSoon: () => {
      if (isProceeding || waiting.size === 0) return
      isProceeding = true
      setImmediate(proceed)
    }
  }
}
