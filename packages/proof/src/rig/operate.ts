import { randomUUID } from 'node:crypto'
import { createClient } from '@connectrpc/connect'
import { createTransport, hashKey } from '@figmount/base'
import { Operator } from '@figmount/schema'

import type { Client } from '@connectrpc/connect'
import type { ApplyResponse, StatusResponse } from '@figmount/schema'
import type { ConfigChange } from './sitePlan.js'
import type { Rig } from './types.js'

/** The caller that tests use by default; its key is its name followed by `-key`. */
export const DEFAULT_CALLER = 'crew'

export const callerKey = (caller: string): string => `${caller}-key`

/** Configuration item of a caller with the key from `callerKey`. */
export const callerItem = (caller: string, kind = 'field', share = 1): ConfigChange =>
  ({ name: `caller/${caller}`, body: { kind, keySha256: hashKey(callerKey(caller)), share } })

/** Operator API client for one router. */
export const operatorAt = (address: string, operatorKey: string): Client<typeof Operator> =>
  createClient(Operator, createTransport({ address, bearerKey: operatorKey }))

/** Applies new items, which must not exist yet (expected version 0), and waits until they are accepted. */
export const applyChanges = async (rig: Rig, address: string, operatorKey: string, changes: readonly ConfigChange[]): Promise<void> => {
  const operator = operatorAt(address, operatorKey)
  let last = ''
  const tryApply = async (): Promise<boolean> => {
    const items = changes.map(change => ({ name: change.name, bodyJson: JSON.stringify(change.body), expectedVersion: 0n }))
    const response: ApplyResponse | Error = await operator.apply({ items, changeId: randomUUID() }).catch((error: Error) => error)
    last = response instanceof Error ? response.message : response.outcomes.filter(outcome => !outcome.accepted).map(outcome => `${outcome.name}: ${outcome.detail}`).join('; ')
    if (response instanceof Error) return false
    // If the response to an earlier try was lost, the item already exists at version 1.
    return response.outcomes.every(outcome => outcome.accepted || outcome.current?.version === 1n)
  }
  await rig.waitUntil('the configuration to be accepted', tryApply).catch((error: Error) => { throw new Error(`${error.message}: ${last}`) })
}

/** Status from one router; undefined while the router does not answer. */
export const statusAt = async (address: string, operatorKey: string): Promise<StatusResponse | undefined> =>
  await operatorAt(address, operatorKey).status({}).catch(() => undefined)
