import { createHttpListener, listenWhenFree } from '@figmount/base'

import { MAX_HEADER_BYTES } from './constants.js'
import { createTurns } from './createTurns.js'
import { onceClosed } from './onceClosed.js'

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { RequestHandler, ServeContext } from '@figmount/base'
import type { CallerLimits } from '@figmount/fleet'

/** The HTTP server for callers. */
export interface Ingress {
  /** Applies the limits of a newer deployment. */
  readonly limit: (limits: CallerLimits) => void
  /** From now on closes each connection after its last answer, and announces this to callers. */
  readonly endConnections: () => void
  /** Accepts no new connections from now on. */
  readonly stopListening: () => void
  /** Closes connections without an open request. */
  readonly closeIdle: () => void
  readonly openCount: () => number
  readonly close: () => void
}

/** Status for a request whose handler failed. It does not claim that the request was not run, because it may have been. */
const BAD_GATEWAY = 502

/** The newest request of a connection. */
interface LatestRequest {
  readonly response: ServerResponse
  /** True if the caller asked for a keep-alive connection with this request. */
  readonly isKept: boolean
}

/**
 * Takes a request as soon as it arrives. `turn` resolves once the earlier requests of its connection are answered: before that nothing of it
 * may run. It resolves with false if the connection ended with an earlier answer: the request must never run.
 */
export type TakeRequest = (message: IncomingMessage, response: ServerResponse, turn: Promise<boolean>, arrivedMs: number) => Promise<void>

/** Starts to accept requests. */
export const startIngress = async (
  address: string, take: TakeRequest, onError: (error: Error) => void, context: ServeContext
): Promise<Ingress> => {
  let openCount = 0
  let isEnding = false
  const sockets = new Map<Socket, LatestRequest | undefined>()
  const turns = createTurns()

  /**
   * Closes a connection only after the answer to its newest request.
   *
   * Guards against a caller that pipelines requests: an answer that closes the connection would drop the later request, which may run.
   */
  const closeAfterLatest = (socket: Socket, latest: LatestRequest): void => {
    const before = sockets.get(socket)
    if (before) before.response.shouldKeepAlive = before.isKept
    latest.response.shouldKeepAlive = false
  }

  /**
   * The previous answer announced the end of the connection. HTTP requires that later requests on it are ignored: they would run without
   * a way to answer them.
   */
  const isAfterClose = (socket: Socket): boolean => {
    const before = sockets.get(socket)?.response
    return before !== undefined && before.headersSent && !before.shouldKeepAlive
  }

  const handle: RequestHandler = (message, response, arrivedMs) => {
    if (isAfterClose(message.socket)) return
    const latest = { response, isKept: response.shouldKeepAlive }
    if (isEnding) closeAfterLatest(message.socket, latest)
    sockets.set(message.socket, latest)
    openCount += 1
    const { turn, pass } = turns.join(message.socket, response)
    onceClosed(message, response, () => {
      openCount -= 1
      pass()
    })
    take(message, response, turn, arrivedMs).catch((error: Error) => {
      onError(error)
      if (response.headersSent) response.destroy()
      else response.writeHead(BAD_GATEWAY, { 'content-length': 0 }).end()
    })
  }
  const { server, limit } = createHttpListener({
    ...context,
    handle,
    // A request's body is read while the request waits for its turn.
    handledCount: Infinity,
    boundsContent: true,
    server: { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, headersTimeout: 0, requestTimeout: 0 }
  })
  server.on('connection', socket => {
    sockets.set(socket, undefined)
    socket.once('close', () => sockets.delete(socket))
  })
  await listenWhenFree(server, address, context)
  return {
    limit: limits => {
      limit({ headMs: limits.headerTimeoutMs, idleMs: limits.idleTimeoutMs })
      server.keepAliveTimeout = limits.idleTimeoutMs
    },
    endConnections: () => {
      isEnding = true
      for (const latest of sockets.values()) {
        if (latest && !latest.response.headersSent) latest.response.shouldKeepAlive = false
      }
    },
    stopListening: () => { server.close() },
    closeIdle: () => { server.closeIdleConnections() },
    openCount: () => openCount,
    close: () => {
      for (const socket of sockets.keys()) socket.destroy()
    }
  }
}
