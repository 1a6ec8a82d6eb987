import { createServer } from 'node:http'

import { feedRequests } from './feedRequests.js'

import type { RequestListener, Server, ServerOptions } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { TimerService } from '../timers/types.js'
import type { RequestFeed } from './feedRequests.js'
import type { ConnectionRoom, ListenerTimes, RequestHandler } from './types.js'

interface Options {
  readonly timers: TimerService
  readonly connections: ConnectionRoom
  readonly handle: RequestHandler
  /** Requests of a connection that are handled at once: one unless the handler takes its own turns. */
  readonly handledCount?: number
  /** The handler bounds the bodies of all requests, and the answers that are not sent yet, itself: they don't count as held. */
  readonly boundsContent?: boolean
  readonly server?: ServerOptions
}

/** An HTTP server whose connections have their places in the process's room. */
export interface HttpListener {
  readonly server: Server
  readonly limit: (times: ListenerTimes) => void
}

const EXPECTATION_FAILED = 417

const feeds = new WeakMap<Duplex, RequestFeed>()

const refuseExpectation: RequestHandler = (_message, response) => {
  response.writeHead(EXPECTATION_FAILED, { 'content-length': 0 }).end()
}

/**
 * Creates an HTTP server that does not listen yet. All listeners of a process are created by this function, so that what their connections
 * take is bounded together.
 */
export const createHttpListener = ({ timers, connections, handle, handledCount = 1, boundsContent = false, server: options = {} }: Options): HttpListener => {
  // Node answers a request without a host by itself, beside the turns of the others.
  const server = createServer({ ...options, requireHostHeader: false })
  const room = connections.addListener()
  const takeWith = (handler: RequestHandler): RequestListener => (message, response) => {
    feeds.get(message.socket)?.take(message, response, handler)
  }
  server.on('request', takeWith(handle))
  server.on('checkExpectation', takeWith(refuseExpectation))
  server.on('connection', (socket: Socket) => {
    const feed = feedRequests({ socket, timers, requestCount: connections.limits.requestCount, handledCount, countsContent: !boundsContent })
    const place = room.enter(socket, feed.isUnread)
    if (!place) return
    feeds.set(socket, feed)
    feed.setPlace(place)
  })
  return { server, limit: room.limit }
}

/** Takes a connection that is upgraded out of its server's hands; false if more has come than the request that asks for it. */
export const handOver = (socket: Duplex): boolean => feeds.get(socket)?.handOver() ?? true
