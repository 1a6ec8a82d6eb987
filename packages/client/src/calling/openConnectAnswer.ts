import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import { createTransport } from '@figmount/base'
import { Inference } from '@figmount/schema'

import type { Client } from '@connectrpc/connect'
import type { OpenAnswer } from './types.js'

/**
 * Opens answer streams by Connect RPC, with pooled keep-alive connections for each address.
 *
 * Guards against a pooled connection whose state was dropped on the network path: a send on it gets neither an answer
 * nor an error. After a failed or silent stream the address gets a new pool, so the resend opens a new connection.
 */
export const openConnectAnswer = (key: string): OpenAnswer => {
  const connections = new Map<string, { readonly client: Client<typeof Inference>, readonly pool: Agent }>()

  const connect = (address: string) => {
    const pool = new Agent({ keepAlive: true })
    const client = createClient(Inference, createTransport({ address, bearerKey: key, agent: pool }))
    const connection = { client, pool }
    connections.set(address, connection)
    return connection
  }

  return async function * (address, request, signal) {
    const connection = connections.get(address) ?? connect(address)
    let ended = false
    try {
      yield * connection.client.infer(request, { signal })
      ended = true
    } finally {
      // Only idle connections of the old pool are suspect; other streams on it continue.
      if (!ended && connections.get(address) === connection) connections.delete(address)
    }
  }
}
