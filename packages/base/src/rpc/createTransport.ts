import { Code, ConnectError } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'

import { Framing, framingOf } from '../http/framingOf.js'

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

const OK = 200

const bearer = (key: string): Interceptor => next => async request => {
  request.header.set('authorization', `Bearer ${key}`)
  return await next(request)
}

const framingOfHeader = (header: Headers): Framing => {
  const headers = Object.fromEntries(header)
  return framingOf({ statusCode: OK, headers }, 'POST')
}

/** Streams have a last message; part of a single message may be a valid message, and the system closes a killed process's connections in order. */
const refuseUnframed: Interceptor = next => async request => {
  const response = await next(request)
  if (response.stream || framingOfHeader(response.header) !== Framing.Connection) return response
  throw new ConnectError('protocol error: answer without a length', Code.Unavailable)
}

/** Creates a Connect transport over HTTP/1.1 to one address. Create one per peer and reuse it. */
export const createTransport = ({ address, bearerKey, agent }: Options): Transport =>
  createConnectTransport({
    baseUrl: `http://${address}`,
    httpVersion: '1.1',
    useBinaryFormat: true,
    ...(agent ? { nodeOptions: { agent } } : {}),
    interceptors: bearerKey ? [bearer(bearerKey), refuseUnframed] : [refuseUnframed]
  })
