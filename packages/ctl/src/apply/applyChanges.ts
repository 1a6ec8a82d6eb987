import { randomUUID } from 'node:crypto'

import type { EitherAsync } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { ApplyOutcome, ApplyResponse } from '@figmount/schema'
import type { OperatorClient } from '../operatorClient/createOperatorClient.js'
import type { ItemChange } from './diffItems.js'

/** A write to one item, which sets or retires it if its version is still `expectedVersion`. */
export interface ItemWrite {
  readonly name: string
  readonly bodyJson: string
  readonly expectedVersion: number
  readonly retire: boolean
}

/** Converts a change from the diff to a write. */
export const toItemWrite = (change: ItemChange): ItemWrite => ({
  name: change.draft.name,
  bodyJson: JSON.stringify(change.draft.spec),
  expectedVersion: change.expectedVersion,
  retire: false
})

/** Sends writes as one change; its random change id makes resends idempotent. */
export const applyWrites = (client: OperatorClient, writes: readonly ItemWrite[]): EitherAsync<Fault, readonly ApplyOutcome[]> => {
  const changeId = randomUUID()
  const items = writes.map(write => ({ ...write, expectedVersion: BigInt(write.expectedVersion) }))
  return client.call<ApplyResponse>('ctl.apply', async rpc => await rpc.apply({ items, changeId }))
    .map(response => response.outcomes)
}
