import { createServer } from 'node:http'

import { MAX_HEADER_BYTES } from './constants.js'

import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { CallerLimits } from '@figmount/fleet'

/** The server that callers reach. */
export interface Ingress {
  /** Takes over the limits of a newer deployment. */
  readonly limit: (limits: CallerLimits) => void
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

/** Starts to take requests. */
export const startIngress = async (
  address: string, take: (message: IncomingMessage, response: ServerResponse) => Promise<void>, failed: (error: Error) => void
): Promise<Ingress> => {
  let openCount = 0
  const handle: RequestListener = (message, response) => {
    openCount += 1
    response.once('close', () => { openCount -= 1 })
    take(message, response).catch((error: Error) => {
      failed(error)
      response.destroy()
    })
  }
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, requireHostHeader: false, noDelay: true }, handle)
  const sockets = new Set<Socket>()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  server.requestTimeout = 0
  await listen(server, address)
  return {
    limit: limits => {
      server.headersTimeout = limits.headerTimeoutMs
      server.keepAliveTimeout = limits.idleTimeoutMs
    },
    stopListening: () => { server.close() },
    closeIdle: () => { server.closeIdleConnections() },
    openCount: () => openCount,
    close: () => {
      for (const socket of sockets) socket.destroy()
    }
  }
}
