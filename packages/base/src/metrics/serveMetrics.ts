import { createServer } from 'node:http'

import type { Metrics } from './types.js'

const CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

/** Serves a process's metrics as text at `host:port` on any path. Resolves to a function that closes the server. */
export const serveMetrics = async (address: string, metrics: Metrics): Promise<() => void> => {
  const [host = '', port = ''] = address.split(':')
  const server = createServer((_message, response) => {
    const text = metrics.text()
    response.writeHead(200, { 'content-type': CONTENT_TYPE, 'content-length': Buffer.byteLength(text) })
    response.end(text)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host, port: Number(port) }, resolve)
  })
  return () => {
    server.close()
    server.closeAllConnections()
  }
}
