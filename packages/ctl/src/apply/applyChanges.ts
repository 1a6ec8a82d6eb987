import { randomUUID } from 'node:crypto'

import type { EitherAsync } from 'purify-ts'
import type { Fault } from '@figmount/base'
import type { ApplyOutcome, ApplyResponse } from '@figmount/schema'
import type { OperatorClient } from '../operatorClient/createOperatorClient.js'
import type { ItemChange } from './diffItems.js'

/** One item to set or retire, based on a version. */
export interface ItemWrite {
  readonly name: string
  readonly bodyJson: string
  readonly expectedVersion: number
  readonly retire: boolean
}

/** The write that makes a diff real. */
export const writeOfChange = (change: ItemChange): ItemWrite => ({
  name: change.draft.name,
  bodyJson: JSON.stringify(change.draft.spec),
  expectedVersion: change.expectedVersion,
  retire: false
})

/** Sends writes as one change; the change id makes a resend harmless. */
export const applyWrites = (client: OperatorClient, writes: readonly ItemWrite[]): EitherAsync<Fault, readonly ApplyOutcome[]> => {
  const changeId = randomUUID()
  const items = writes.map(write => ({ ...write, expectedVersion: BigInt(write.expectedVersion) }))
  return client.call<ApplyResponse>('ctl.apply', async rpc => await rpc.apply({ items, changeId }))
    .map(response => response.outcomes)
}
