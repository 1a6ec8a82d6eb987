import { createServer } from 'node:net'

import type { AddressInfo, Socket } from 'node:net'
import type { ListedServer } from './listing.js'

/** A request that reached a plain server. */
export interface PlainRequest {
  readonly requestId: string
  readonly path: string
  readonly expectedId: string
  readonly socket: Socket
}

interface PlainOptions {
  readonly serverId: string
  readonly service: string
  readonly host: string
  /** A free one unless given. */
  readonly port?: number
  /** Called when a request was read whole; it writes the answer, and calls `done` when the connection may take the next one. */
  readonly take: (request: PlainRequest, done: () => void) => void
}

/** A plain server that writes its answers byte by byte. */
export interface PlainServer extends ListedServer {
  readonly close: () => void
  /** Ends the server as a crash of its process does: its system closes its connections in order and refuses new ones. */
  readonly crash: () => void
}

const SLOTS = 6

const fieldOf = (head: string, name: string): string => new RegExp(`^${name}: *(.*)$`, 'mi').exec(head)?.[1]?.trim() ?? ''

/** Starts a server of plain requests on a free port. Health checks are answered at once. */
export const startPlainServer = async ({ serverId, service, host, port = 0, take }: PlainOptions): Promise<PlainServer> => {
  const sockets = new Set<Socket>()

  const serve = (socket: Socket): void => {
    let received = ''
    let isBusy = false
    const review = (): void => {
      const headEnd = received.indexOf('\r\n\r\n')
      if (isBusy || headEnd < 0) return
      const head = received.slice(0, headEnd)
      const end = headEnd + 4 + Number(fieldOf(head, 'content-length') || 0)
      if (received.length < end) return
      received = received.slice(end)
      const path = head.split(' ')[1] ?? ''
      if (path === '/health') {
        socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${serverId}\r\nContent-Length: 0\r\n\r\n`)
        return review()
      }
      isBusy = true
      take({ requestId: fieldOf(head, 'request-id'), path, expectedId: fieldOf(head, 'expect-instance'), socket }, () => {
        isBusy = false
        review()
      })
    }
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
    socket.on('data', chunk => {
      received += chunk.toString('latin1')
      review()
    })
  }

  const server = createServer(serve)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return {
    serverId,
    service,
    address: `${host}:${(server.address() as AddressInfo).port}`,
    version: 'v1',
    slots: SLOTS,
    born: Date.now(),
    models: () => [],
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    },
    crash: () => {
      server.close()
      for (const socket of sockets) socket.end()
    }
  }
}

/** Writes an answer with a length. */
export const encodeAnswer = (status: string, requestId: string, headers: Readonly<Record<string, string>>, body: string): string => {
  const lines = Object.entries({ 'Request-Id': requestId, ...headers, 'Content-Length': String(body.length) }).map(([name, value]) => `${name}: ${value}\r\n`)
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n${body}`
}
