import { createServer } from 'node:http'

import { listenWhenFree } from '../sockets/listenWhenFree.js'

import type { ListenContext } from '../sockets/listenWhenFree.js'
import type { Metrics } from './types.js'

const CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

/** Serves a process's metrics as text at `host:port` on any path, once the address is free. Resolves to a function that closes the server. */
export const serveMetrics = async (address: string, metrics: Metrics, context: ListenContext): Promise<() => void> => {
  const server = createServer((_message, response) => {
    const text = metrics.text()
    response.writeHead(200, { 'content-type': CONTENT_TYPE, 'content-length': Buffer.byteLength(text) })
    response.end(text)
  })
  await listenWhenFree(server, address, context)
  return () => {
    server.close()
    server.closeAllConnections()
  }
}
