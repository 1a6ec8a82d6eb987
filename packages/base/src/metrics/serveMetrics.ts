import { createHttpListener } from '../listeners/createHttpListener.js'
import { listenWhenFree } from '../sockets/listenWhenFree.js'
import { createMetricsPage } from './createMetricsPage.js'

import type { ServeContext } from '../listeners/types.js'
import type { Metrics } from './types.js'

const CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'

/** Serves a process's metrics as text at `host:port` on any path, once the address is free. Resolves to a function that closes the server. */
export const serveMetrics = async (address: string, metrics: Metrics, context: ServeContext): Promise<() => void> => {
  const page = createMetricsPage(metrics)
  const { server } = createHttpListener({
    ...context,
    handle: (_message, response) => {
      const text = page()
      response.writeHead(200, { 'content-type': CONTENT_TYPE, 'content-length': Buffer.byteLength(text) })
      response.end(text)
    }
  })
  await listenWhenFree(server, address, context)
  return () => {
    server.close()
    server.closeAllConnections()
  }
}
