import { createConnectTransport } from '@connectrpc/connect-node'

import type { Agent } from 'node:http'
import type { Interceptor, Transport } from '@connectrpc/connect'

interface Options {
  /** host:port */
  readonly address: string
  /** Sent as `authorization: Bearer`. */
  readonly bearerKey?: string
  /**
   * Connection pool; Node's global pool if omitted. To abandon an unresponsive connection, pass a separate pool and
   * destroy it.
   */
  readonly agent?: Agent
}

const bearer = (key: string): Interceptor => next => async request => {
  request.header.set('authorization', `Bearer ${key}`)
  return await next(request)
}

/** Creates a Connect transport over HTTP/1.1 to one address. Create one per peer and reuse it. */
export const createTransport = ({ address, bearerKey, agent }: Options): Transport =>
  createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
    useBinaryFormat: true,
    ...(agent ? { nodeOptions: { agent } } : {}),
    interceptors: bearerKey ? [bearer(bearerKey)] : []
  })
