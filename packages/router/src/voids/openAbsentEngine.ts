import { createClient } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { createTransport, faultFrom } from '@figmount/base'
import { Engine } from '@figmount/schema'

import { CALL_TIMEOUT_MS } from './constants.js'

import type { AbsentEngine } from './types.js'

/** Deadline sent to the engine with the unload order. */
const ORDER_DEADLINE_MS = 1_500

/** Creates an RPC client for the engine at `address`. */
export const openAbsentEngine = (address: string): AbsentEngine => {
  const client = createClient(Engine, createTransport({ address }))
  return {
    inventory: () => EitherAsync(async () => await client.inventory({}, { timeoutMs: CALL_TIMEOUT_MS }))
      .mapLeft(faultFrom('voids.inventory', address))
      .map(({ models, enforcesFence }) => ({ models: models.map(entry => entry.model), enforcesFence })),
    unload: (model, fence) => EitherAsync(async () => await client.unload({ model, fence: BigInt(fence), orderDeadlineMs: ORDER_DEADLINE_MS }, { timeoutMs: CALL_TIMEOUT_MS }))
      .mapLeft(faultFrom('voids.unload', address))
      .map(() => undefined)
  }
}
