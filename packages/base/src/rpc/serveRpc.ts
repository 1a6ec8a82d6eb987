import { createServer } from 'node:http'
import { connectNodeAdapter } from '@connectrpc/connect-node'

import type { ConnectRouter } from '@connectrpc/connect'
import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Metrics } from '../metrics/types.js'

interface Options {
  readonly host: string
  /** 0 lets the system choose. */
  readonly port: number
  readonly routes: (router: ConnectRouter) => void
  readonly metrics?: Metrics
  /** Takes what is no RPC; returns false to let it be answered with 404. */
  readonly handlePlain?: (request: IncomingMessage, response: ServerResponse) => boolean
  /** False once the process leaves: `/healthz` then answers 503. Always true if left out. */
  readonly isHealthy?: () => boolean
  /** Largest RPC message in bytes. */
  readonly maxMessageBytes?: number
}

/** A listening server. */
export interface RpcServer {
  readonly server: Server
  /** host:port it listens on. */
  readonly address: string
  readonly close: () => Promise<void>
}

const DEFAULT_MAX_MESSAGE_BYTES = 4 * 1024 * 1024

const answerText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' })
  response.end(text)
}

/** Serves RPC, `/metrics` and `/healthz` on one port of Node's `http`. */
export const serveRpc = async (options: Options): Promise<RpcServer> => {
  const { isHealthy = () => true } = options
  const fallback = (request: IncomingMessage, response: ServerResponse): void => {
    if (request.url === '/healthz') return isHealthy() ? answerText(response, 200, 'ok\n') : answerText(response, 503, 'leaving\n')
    if (request.url === '/metrics' && options.metrics) return answerText(response, 200, options.metrics.text())
    if (options.handlePlain?.(request, response)) return
    answerText(response, 404, 'not found\n')
  }
  const handler = connectNodeAdapter({
    routes: options.routes,
    // The adapter's type allows HTTP/2 requests too; this server is HTTP/1.1 only.
    fallback: (request, response) => fallback(request as IncomingMessage, response as ServerResponse),
    readMaxBytes: options.maxMessageBytes ?? DEFAULT_MAX_MESSAGE_BYTES
  })
  const server = createServer(handler as RequestListener)
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
