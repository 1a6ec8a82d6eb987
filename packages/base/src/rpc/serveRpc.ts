import { connectNodeAdapter } from '@connectrpc/connect-node'

import { createHttpListener } from '../listeners/createHttpListener.js'
import { createMetricsPage } from '../metrics/createMetricsPage.js'

import type { ConnectRouter } from '@connectrpc/connect'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { ServeContext } from '../listeners/types.js'
import type { Metrics } from '../metrics/types.js'

interface Options {
  readonly host: string
  /** 0 picks a free port. */
  readonly port: number
  readonly context: Pick<ServeContext, 'timers' | 'connections'>
  readonly routes: (router: ConnectRouter) => void
  readonly metrics?: Metrics
  /** Handles requests that are not RPCs; returns false for a 404 response. */
  readonly handlePlain?: (request: IncomingMessage, response: ServerResponse) => boolean
  /** Returns false while the process shuts down, so that `/healthz` answers 503. Always healthy if omitted. */
  readonly isHealthy?: () => boolean
  /** Maximum size of an RPC message in bytes. */
  readonly maxMessageBytes?: number
}

/** A listening server. */
export interface RpcServer {
  readonly server: Server
  /** host:port on which the server listens. */
  readonly address: string
  readonly close: () => Promise<void>
}

const DEFAULT_MAX_MESSAGE_BYTES = 4 * 1024 * 1024

const sendText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Serves RPCs, `/metrics` and `/healthz` on one port over HTTP/1.1. */
export const serveRpc = async (options: Options): Promise<RpcServer> => {
  const { isHealthy = () => true } = options
  const page = options.metrics && createMetricsPage(options.metrics)
  const fallback = (request: IncomingMessage, response: ServerResponse): void => {
    if (request.url === '/healthz') return isHealthy() ? sendText(response, 200, 'ok\n') : sendText(response, 503, 'leaving\n')
    if (request.url === '/metrics' && page) return sendText(response, 200, page())
    if (options.handlePlain?.(request, response)) return
    sendText(response, 404, 'not found\n')
  }
  const handler = connectNodeAdapter({
    routes: options.routes,
    // The adapter's type also allows HTTP/2 requests, which this HTTP/1.1 server never receives.
    fallback: (request, response) => fallback(request as IncomingMessage, response as ServerResponse),
    readMaxBytes: options.maxMessageBytes ?? DEFAULT_MAX_MESSAGE_BYTES
  })
  const { server } = createHttpListener({ ...options.context, handle: (message, response) => { handler(message, response) } })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, resolve)
  })
  const { port } = server.address() as AddressInfo
  const close = async (): Promise<void> => await new Promise(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
  })
  return { server, address: `${options.host}:${port}`, close }
}
