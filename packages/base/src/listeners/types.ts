import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { ListenContext } from '../sockets/listenWhenFree.js'

/** What all connections that others open to one process may take together. */
export interface ConnectionLimits {
  /** Connections open at once. */
  readonly connectionCount: number
  /** Requests of one connection that are read ahead of their answers. */
  readonly requestCount: number
  /** Memory for requests without an answer, what has been read of others, and answers that are not sent yet. */
  readonly heldBytes: number
}

/**
 * What a connection is doing:
 * - `receiving`: it has sent nothing yet, or a part of a head
 * - `uploading`: the head of its only request has come, the body not to its end
 * - `idle`: all its requests are answered
 * - `serving`: it has a whole request without an answer
 * - `linked`: it is a link between two processes and has bounds of its own
 */
export type ConnectionStage = 'receiving' | 'uploading' | 'idle' | 'serving' | 'linked'

/** The place of one connection among all of the process. */
export interface ConnectionPlace {
  /** Changes what the connection holds, and how much of it is for requests that are not its first. */
  readonly hold: (changeBytes: number, changeAheadBytes: number) => void
  /** Something has come in or was answered: the connection has not rested. */
  readonly move: (stage: ConnectionStage) => void
  /** The process holds as much as it may: nothing more is to be parsed. */
  readonly isFull: () => boolean
  /** Calls back once the process holds less. */
  readonly onceRoom: (proceed: () => void) => void
}

/** How long connections of one listener may take. */
export interface ListenerTimes {
  /** For a head, from its first byte. */
  readonly headMs: number
  /** Without a first byte. */
  readonly idleMs: number
}

/** Connections of one listener. */
export interface ListenerRoom {
  /** Takes a new connection; undefined if there is no place for it, and it is closed. `isUnread`: all its answers wait for its peer to read. */
  readonly enter: (socket: Socket, isUnread: () => boolean) => ConnectionPlace | undefined
  readonly limit: (times: ListenerTimes) => void
}

/** The room that a process has for the connections of all its listeners. */
export interface ConnectionRoom {
  readonly limits: ConnectionLimits
  readonly addListener: () => ListenerRoom
}

/** What a listener needs of its process. */
export interface ServeContext extends ListenContext {
  readonly connections: ConnectionRoom
}

/** Takes a request that was read at `arrivedMs`. */
export type RequestHandler = (message: IncomingMessage, response: ServerResponse, arrivedMs: number) => void
