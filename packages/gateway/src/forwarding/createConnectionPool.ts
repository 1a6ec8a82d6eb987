import { Agent } from 'node:http'

import { startKeyOf } from '@figmount/fleet'

import { IDLE_MARGIN_MS, IDLE_TIMEOUT_MS, MIN_IDLE_MS } from './constants.js'

import type { Socket } from 'node:net'
import type { IncomingMessage } from 'node:http'
import type { ServerStart } from '@figmount/fleet'

const MS_PER_S = 1_000
const KEEP_ALIVE_TIMEOUT = /timeout=(\d{1,9})/

/** Keep-alive connections, one pool for each start of a server. */
export interface ConnectionPool {
  readonly agentFor: (start: ServerStart) => Agent
  /** Takes the idle timeout that the server announces in this answer. */
  readonly noteAnswer: (message: IncomingMessage) => void
  /** Prepares a connection for a request. */
  readonly noteUse: (socket: Socket) => void
  /** Closes the idle connections of all other starts. */
  readonly retainStarts: (starts: readonly ServerStart[]) => void
  readonly close: () => void
}

/** Creates the connection pool of one router. */
export const createConnectionPool = (): ConnectionPool => {
  const agents = new Map<string, Agent>()
  const idleMs = new WeakMap<Socket, number>()

  // Guards against bytes that a server sends while no request is open: they would be taken for the answer to the next request on the
  // connection. A connection that receives anything while idle is destroyed.
  const destroyOnData = function (this: Socket): void {
    this.destroy()
  }

  const markIdle = (socket: Socket): void => {
    if (socket.destroyed) return
    socket.on('data', destroyOnData)
    socket.setTimeout(idleMs.get(socket) ?? IDLE_TIMEOUT_MS)
  }

  const make = (): Agent => {
    const agent = new Agent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS, scheduling: 'lifo' })
    agent.on('free', markIdle)
    return agent
  }

  const destroy = (startKey: string): void => {
    const agent = agents.get(startKey)
    if (!agent) return
    agents.delete(startKey)
    for (const sockets of Object.values(agent.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy()
    }
  }

  return {
    // Guards against reusing a connection to a previous start: after a power loss it never answers, and a request on it may count as
    // having run. Each start has its own connections.
    agentFor: start => {
      const startKey = startKeyOf(start)
      const agent = agents.get(startKey) ?? make()
      agents.set(startKey, agent)
      return agent
    },
    noteAnswer: message => {
      const [, seconds] = KEEP_ALIVE_TIMEOUT.exec(String(message.headers['keep-alive'] ?? '')) ?? []
      if (seconds === undefined) return
      const keptMs = Math.max(MIN_IDLE_MS, Number(seconds) * MS_PER_S - IDLE_MARGIN_MS)
      idleMs.set(message.socket, Math.min(IDLE_TIMEOUT_MS, keptMs))
    },
    noteUse: socket => {
      socket.off('data', destroyOnData)
      socket.setTimeout(0)
    },
    retainStarts: starts => {
      const kept = new Set(starts.map(startKeyOf))
      for (const startKey of [...agents.keys()]) {
        if (!kept.has(startKey)) destroy(startKey)
      }
    },
    close: () => {
      for (const agent of agents.values()) agent.destroy()
    }
  }
}
