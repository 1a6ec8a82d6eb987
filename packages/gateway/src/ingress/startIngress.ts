import { createServer } from 'node:http'

import { MAX_HEADER_BYTES } from './constants.js'
import { onceClosed } from './onceClosed.js'

import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerLimits } from '@figmount/fleet'

/** The server that callers reach. */
export interface Ingress {
  /** Takes over the limits of a newer deployment. */
  readonly limit: (limits: CallerLimits) => void
  /** Has each connection closed behind its last answer from now on, and callers told of it. */
  readonly endConnections: () => void
  /** Takes no new connection from now on. */
  readonly stopListening: () => void
  /** Closes connections on which no request is under way. */
  readonly closeIdle: () => void
  readonly openCount: () => number
  readonly close: () => void
}

/** Listens at `host:port`; resolves when it does. */
export const listen = async (server: Server, address: string): Promise<void> => {
  const [host = '', port = ''] = address.split(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port: Number(port) }, resolve)
  })
}

/** Promises nothing: a request whose handling failed may have run. */
const BAD_GATEWAY = 502

/** The newest request of a connection. */
interface LatestRequest {
  readonly response: ServerResponse
  /** The caller keeps the connection. */
  readonly isKept: boolean
}

/** Starts to take requests. */
export const startIngress = async (
  address: string, take: (message: IncomingMessage, response: ServerResponse) => Promise<void>, onError: (error: Error) => void
): Promise<Ingress> => {
  let openCount = 0
  let isEnding = false
  const sockets = new Map<Socket, LatestRequest | undefined>()

  /**
   * Guards against a caller that sends a request before it has the answer to the one before: an answer that closes the
   * connection takes the later request with it, though that may run. Only the last answer closes it.
   */
  const closeAfterLatest = (socket: Socket, latest: LatestRequest): void => {
    const before = sockets.get(socket)
    if (before) before.response.shouldKeepAlive = before.isKept
    latest.response.shouldKeepAlive = false
  }

  /**
   * The caller was told that the connection ends with the answer before. HTTP has later requests on it left alone: they would
   * run for an answer that cannot be given.
   */
  const isAfterClose = (socket: Socket): boolean => {
    const before = sockets.get(socket)?.response
    return before !== undefined && before.headersSent && !before.shouldKeepAlive
  }

  const handle: RequestListener = (message, response) => {
    if (isAfterClose(message.socket)) return
    const latest = { response, isKept: response.shouldKeepAlive }
    if (isEnding) closeAfterLatest(message.socket, latest)
    sockets.set(message.socket, latest)
    openCount += 1
    onceClosed(message, response, () => { openCount -= 1 })
    take(message, response).catch((error: Error) => {
      onError(error)
      if (response.headersSent) response.destroy()
      else response.writeHead(BAD_GATEWAY, { 'content-length': 0 }).end()
    })
  }
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requireHostHeader: false, noDelay: true }, handle)
  server.on('connection', socket => {
    sockets.set(socket, undefined)
    socket.once('close', () => sockets.delete(socket))
  })
  server.requestTimeout = 0
  await listen(server, address)
  return {
    limit: limits => {
      server.headersTimeout = limits.headerTimeoutMs
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
