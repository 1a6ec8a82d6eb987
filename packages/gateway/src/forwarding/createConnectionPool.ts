import { Agent } from 'node:http'
import { closeOnIdleBytes, expectBytes } from '@figmount/base'
import { startKeyOf } from '@figmount/fleet'

import { IDLE_MARGIN_MS, IDLE_TIMEOUT_MS, MAX_REQUESTS_PER_CONNECTION, MIN_IDLE_MS } from './constants.js'

import type { Duplex } from 'node:stream'
import type { Socket } from 'node:net'
import type { IncomingMessage } from 'node:http'
import type { ServerStart } from '@figmount/fleet'

const MS_PER_S = 1_000
const KEEP_ALIVE_TIMEOUT = /timeout=(\d{1,9})/

/** Keep-alive connections, one pool for each start of a server. */
export interface ConnectionPool {
  /**
   * Connections for one request. None of them has carried a request with this id before, so what comes on it with this id answers this
   * send, and is no late copy of the answer to an earlier one. Without an id only a new connection shows whose answer it is.
   */
  readonly agentFor: (start: ServerStart, requestId: string) => Agent
  /** Takes the idle timeout that the server announces in this answer. */
  readonly noteAnswer: (message: IncomingMessage) => void
  /** Prepares a connection for a request with this id. */
  readonly noteUse: (socket: Socket, requestId: string) => void
  /** Closes the idle connections of all other starts. */
  readonly retainStarts: (starts: readonly ServerStart[]) => void
  readonly close: () => void
}

/** Creates the connection pool of one router. */
export const createConnectionPool = (): ConnectionPool => {
  const agents = new Map<string, Agent>()
  const idleMs = new WeakMap<Socket, number>()
  const carriedIds = new WeakMap<Duplex, Set<string>>()
  // Each request on it gets a connection of its own, which is closed behind the answer.
  const singleUse = new Agent({ keepAlive: false })

  const markIdle = (socket: Socket): void => {
    if (socket.destroyed) return
    closeOnIdleBytes(socket)
    socket.setTimeout(idleMs.get(socket) ?? IDLE_TIMEOUT_MS)
  }

  const make = (): Agent => {
    const agent = new Agent({ keepAlive: true, timeout: IDLE_TIMEOUT_MS, scheduling: 'lifo' })
    const keepAlive: (socket: Duplex) => unknown = agent.keepSocketAlive.bind(agent)
    agent.keepSocketAlive = socket => (carriedIds.get(socket)?.size ?? 0) < MAX_REQUESTS_PER_CONNECTION && keepAlive(socket)
    agent.on('free', markIdle)
    return agent
  }

  const hasCarried = ({ freeSockets }: Agent, requestId: string): boolean =>
    Object.values(freeSockets).some(sockets => sockets?.some(socket => carriedIds.get(socket)?.has(requestId)))

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
    agentFor: (start, requestId) => {
      const startKey = startKeyOf(start)
      const agent = agents.get(startKey) ?? make()
      agents.set(startKey, agent)
      return requestId === '' || hasCarried(agent, requestId) ? singleUse : agent
    },
    noteAnswer: message => {
      const [, seconds] = KEEP_ALIVE_TIMEOUT.exec(String(message.headers['keep-alive'] ?? '')) ?? []
      if (seconds === undefined) return
      const keptMs = Math.max(MIN_IDLE_MS, Number(seconds) * MS_PER_S - IDLE_MARGIN_MS)
      idleMs.set(message.socket, Math.min(IDLE_TIMEOUT_MS, keptMs))
    },
    noteUse: (socket, requestId) => {
      const ids = carriedIds.get(socket) ?? new Set()
      carriedIds.set(socket, ids.add(requestId))
      expectBytes(socket)
      socket.setTimeout(0)
    },
    retainStarts: starts => {
      const kept = new Set(starts.map(startKeyOf))
      for (const startKey of [...agents.keys()]) {
        if (!kept.has(startKey)) destroy(startKey)
      }
    },
    close: () => {
      for (const agent of [...agents.values(), singleUse]) agent.destroy()
    }
  }
}
