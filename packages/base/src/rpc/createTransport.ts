import { createConnectTransport } from '@connectrpc/connect-node'

import type { Agent } from 'node:http'
import type { Interceptor, Transport } from '@connectrpc/connect'

interface Options {
  /** host:port */
  readonly address: string
  /** Sent as `authorization: Bearer`. */
  readonly bearerKey?: string
  /**
   * Pool of connections. Node's shared pool is used if left out; whoever must get away from a
   * connection that went silent gives a pool of its own and destroys it.
   */
  readonly agent?: Agent
}

const bearer = (key: string): Interceptor => next => async request => {
  request.header.set('authorization', `Bearer ${key}`)
  return await next(request)
}

/** A Connect transport over HTTP/1.1 to one address. Make one for each peer and keep it. */
export const createTransport = ({ address, bearerKey, agent }: Options): Transport =>
  createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
    useBinaryFormat: true,
    ...(agent ? { nodeOptions: { agent } } : {}),
    interceptors: bearerKey ? [bearer(bearerKey)] : []
  })
