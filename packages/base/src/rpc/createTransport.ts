import { createConnectTransport } from '@connectrpc/connect-node'

import type { Interceptor, Transport } from '@connectrpc/connect'

interface Options {
  /** host:port */
  readonly address: string
  /** Sent as `authorization: Bearer`. */
  readonly bearerKey?: string
}

const bearer = (key: string): Interceptor => next => async request => {
  request.header.set('authorization', `Bearer ${key}`)
  return await next(request)
}

/** A Connect transport over HTTP/1.1 to one address. Make one for each peer and keep it. */
export const createTransport = ({ address, bearerKey }: Options): Transport =>
  createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
    useBinaryFormat: true,
    interceptors: bearerKey ? [bearer(bearerKey)] : []
  })
