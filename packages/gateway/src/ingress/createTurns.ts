import { MAX_RUNNING_PER_CONNECTION } from './constants.js'

import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** The place of one request among those of its connection. */
export interface PlaceInTurn {
  /** Resolves with true when the request may run, and with false if its connection ended with an earlier answer. */
  readonly turn: Promise<boolean>
  /** The request is over. */
  readonly pass: () => void
}

/** Lets the requests of each connection run in the order of their arrival. */
export interface Turns {
  readonly join: (socket: Socket, response: ServerResponse) => PlaceInTurn
}

interface Waiting {
  readonly begin: (mayRun: boolean) => void
}

interface Line {
  runningCount: number
  isEnded: boolean
  readonly waiting: Waiting[]
}

/**
 * Creates the turns of the requests of all connections.
 *
 * Guards against a caller that pipelines requests and reads no answer: each would keep its answer. It also guards against a request that has
 * run, or still runs, when an earlier answer ends its connection: it could not be answered.
 */
export const createTurns = (): Turns => {
  const lines = new WeakMap<Socket, Line>()

  const lineOf = (socket: Socket): Line => {
    const line = lines.get(socket) ?? { runningCount: 0, isEnded: false, waiting: [] }
    lines.set(socket, line)
    return line
  }

  const letNextRun = (line: Line): void => {
    if (line.isEnded) {
      for (const { begin } of line.waiting.splice(0)) begin(false)
      return
    }
    const next = line.waiting.shift()
    if (!next) return
    line.runningCount += 1
    next.begin(true)
  }

  return {
    join: (socket, response) => {
      const line = lineOf(socket)
      if (line.isEnded) return { turn: Promise.resolve(false), pass: () => {} }
      let isRunning = line.runningCount < MAX_RUNNING_PER_CONNECTION
      if (isRunning) line.runningCount += 1
      const turn = isRunning
        ? Promise.resolve(true)
        : new Promise<boolean>(resolve => {
          line.waiting.push({
            begin: mayRun => {
              isRunning = mayRun
              resolve(mayRun)
            }
          })
        })
      return {
        turn,
        pass: () => {
          if (!isRunning) return
          line.runningCount -= 1
          if (socket.destroyed || socket.writableEnded || !response.shouldKeepAlive) line.isEnded = true
          letNextRun(line)
        }
      }
    }
  }
}
