import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** The place of one request among those of its connection. */
export interface PlaceInTurn {
  /** Resolves with true when the request may run, and with false if its connection ended with an earlier answer. */
  readonly turn: Promise<boolean>
  /** The request is over. */
  readonly pass: () => void
}

/** Lets the requests of each connection run one by one, in the order of their arrival. */
export interface Turns {
  readonly join: (socket: Socket, response: ServerResponse) => PlaceInTurn
}

const isGoingOn = (socket: Socket, response: ServerResponse): boolean => !socket.destroyed && !socket.writableEnded && response.shouldKeepAlive

/**
 * Creates the turns of the requests of all connections.
 *
 * Guards against a caller that pipelines requests and reads no answer: each would keep its answer. It also guards against a request that has
 * run, or still runs, when an earlier answer ends its connection: it could not be answered.
 */
export const createTurns = (): Turns => {
  /** The turn of each connection's next request. */
  const nextTurns = new WeakMap<Socket, Promise<boolean>>()

  return {
    join: (socket, response) => {
      const turn = nextTurns.get(socket) ?? Promise.resolve(true)
      let pass = (): void => {}
      const over = new Promise<boolean>(resolve => { pass = () => { resolve(isGoingOn(socket, response)) } })
      nextTurns.set(socket, turn.then(async mayRun => mayRun && await over))
      return { turn, pass }
    }
  }
}
