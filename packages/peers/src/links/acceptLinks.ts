import { WebSocketServer } from 'ws'
import { BaseEvent, checkProof, handOver } from '@figmount/base'

import { INSTANCE_HEADER, MAX_MESSAGE_BYTES, PROOF_HEADER } from './constants.js'
import { PeerEvent } from './events.js'
import { wrapSocket } from './wrapSocket.js'

import type { IncomingMessage, Server } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Link, LinkContext } from './types.js'

const header = (request: IncomingMessage, name: string): string => {
  const value = request.headers[name]
  return typeof value === 'string' ? value : ''
}

const refuse = (socket: Duplex): void => {
  socket.end('HTTP/1.1 401 Unauthorized\r\nconnection: close\r\n\r\n', () => socket.destroy())
}

/** Accepts links at `/peer` of a listening server and calls `runLink` for each. */
export const acceptLinks = <Send, Receive>(
  server: Server,
  context: LinkContext,
  runLink: (link: Link<Send, Receive>) => Promise<void>
): void => {
  const sockets = new WebSocketServer({ noServer: true, maxPayload: MAX_MESSAGE_BYTES, perMessageDeflate: false })
  server.on('upgrade', (request, socket, head) => {
    // Node takes its own listener off a connection that is upgraded: a reset would be an exception that nothing catches.
    socket.on('error', () => socket.destroy())
    // No peer sends anything behind its request before it has the answer.
    if (!handOver(socket)) return socket.destroy()
    const peer = header(request, INSTANCE_HEADER)
    const proof = header(request, PROOF_HEADER)
    const isAuthenticated = request.url === '/peer' && checkProof(context.sharedKey, peer, proof, context.timers.unixMs())
    if (!isAuthenticated) {
      context.events.emit(PeerEvent.peerRefused, { peer, step: 'links.accept' })
      return refuse(socket)
    }
    sockets.handleUpgrade(request, socket, head, webSocket => {
      context.events.emit(PeerEvent.linkOpened, { peer })
      const link = wrapSocket<Send, Receive>(webSocket, peer, context)
      runLink(link).catch((error: Error) => {
        link.close('failed')
        context.events.emit(BaseEvent.unexpectedFault, { peer, step: 'links.run', reason: error.message })
      })
    })
  })
}
