import { Agent } from 'node:http'
import { createClient } from '@connectrpc/connect'
import { EitherAsync } from 'purify-ts'
import { match } from 'ts-pattern'
import { createTransport } from '@figmount/base'
import { ORDER_DEADLINE_MS } from '@figmount/records'
import { CheckpointTier, Engine, ResidentState } from '@figmount/schema'

import { CANCEL_TIMEOUT_MS, IDLE_CONNECTION_MS, INVENTORY_TIMEOUT_MS } from './constants.js'
import { engineFault } from './engineFaults.js'

import type { Client } from '@connectrpc/connect'
import type { ModelId } from '@figmount/base'
import type { InventoryResponse, OrderResult } from '@figmount/schema'
import type { EngineClient, EngineOrder, Inventory, Tier } from './types.js'

const readTier = (tier: CheckpointTier): Tier => {
  if (tier === CheckpointTier.MEMORY) return 'memory'
  return tier === CheckpointTier.DISK ? 'disk' : 'remote'
}

const readInventory = (answer: InventoryResponse): Inventory => ({
  incarnation: answer.incarnation,
  memoryCapacityMb: answer.memoryCapacityMb,
  memoryUsedMb: answer.memoryUsedMb,
  batchSize: Math.max(1, answer.batchSize),
  enforcesFence: answer.enforcesFence,
  residents: answer.models.map(resident => ({
    model: resident.model as ModelId,
    version: resident.version,
    fence: Number(resident.fence),
    memoryMb: resident.memoryMb,
    state: resident.state === ResidentState.READY ? 'ready' : 'loading',
    adapters: resident.adapters.map(({ adapter, memoryMb }) => ({ adapter, memoryMb }))
  })),
  checkpoints: answer.checkpoints.map(({ model, version, tier }) => ({ model: model as ModelId, version, tier: readTier(tier) }))
})

const sendOrder = async (client: Client<typeof Engine>, order: EngineOrder, signal: AbortSignal): Promise<OrderResult> => {
  const head = { fence: BigInt(order.fence), orderDeadlineMs: ORDER_DEADLINE_MS, model: order.model }
  return await match(order)
    .with({ kind: 'load' }, async ({ version, memoryMb, checkpointMb }) =>
      await client.load({ ...head, version, memoryMb, checkpointMb }, { signal }))
    .with({ kind: 'unload' }, async () => await client.unload(head, { signal }))
    .with({ kind: 'loadAdapter' }, async ({ adapter, memoryMb }) => await client.loadAdapter({ ...head, adapter, memoryMb }, { signal }))
    .with({ kind: 'unloadAdapter' }, async ({ adapter }) => await client.unloadAdapter({ ...head, adapter, memoryMb: 0 }, { signal }))
    .exhaustive()
}

const makeClient = (address: string, agent: Agent): Client<typeof Engine> =>
  createClient(Engine, createTransport({ address, agent }))

/**
 * Creates the client of one engine. Generations share pooled connections; orders, inventory requests and resumed streams
 * use a new connection each, because a pooled one may be the connection that went silent.
 */
export const createEngineClient = (address: string): EngineClient => {
  const pooled = makeClient(address, new Agent({ keepAlive: true, timeout: IDLE_CONNECTION_MS }))
  const unpooled = makeClient(address, new Agent({ keepAlive: false }))
  return {
    address,
    order: (order, signal) => EitherAsync(async () => await sendOrder(unpooled, order, signal))
      .map(result => ({ tookMs: result.tookMs }))
      .mapLeft(engineFault(`engine.${order.kind}`, address)),
    inventory: () => EitherAsync(async () => await unpooled.inventory({}, { timeoutMs: INVENTORY_TIMEOUT_MS }))
      .map(readInventory)
      .mapLeft(engineFault('engine.inventory', address)),
    generate: (args, signal) => pooled.generate({ ...args, doneTokens: [...args.doneTokens] }, { signal }),
    resume: (streamId, fromTokenIndex, signal) => unpooled.resume({ streamId, fromTokenIndex }, { signal }),
    cancel: streamId => EitherAsync(async () => await unpooled.cancel({ streamId }, { timeoutMs: CANCEL_TIMEOUT_MS }))
      .map(answer => answer.wasRunning)
      .mapLeft(engineFault('engine.cancel', address))
  }
}
