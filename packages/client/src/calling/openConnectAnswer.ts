import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import { createTransport } from '@figmount/base'
import { Inference } from '@figmount/schema'

import type { Client } from '@connectrpc/connect'
import type { OpenAnswer } from './types.js'

/**
 * Opens answers by Connect RPC, with kept connections for each address.
 *
 * Guards against a kept connection that something between the two ends has forgotten: a send
 * on it gets neither an answer nor an error. After a stream that failed or fell silent the
 * address's connections are dropped, so the resend opens a new one.
 */
export const openConnectAnswer = (key: string): OpenAnswer => {
  const clients = new Map<string, { readonly client: Client<typeof Inference>, readonly pool: Agent }>()

  const connect = (address: string) => {
    const pool = new Agent({ keepAlive: true })
    const client = createClient(Inference, createTransport({ address, bearerKey: key, agent: pool }))
    const made = { client, pool }
    clients.set(address, made)
    return made
  }

  return async function * (address, request, signal) {
    const used = clients.get(address) ?? connect(address)
    let ended = false
    try {
      yield * used.client.infer(request, { signal })
      ended = true
    } finally {
      // Other streams of this address go on: only idle connections of the pool are in doubt.
      if (!ended && clients.get(address) === used) clients.delete(address)
    }
  }
}
