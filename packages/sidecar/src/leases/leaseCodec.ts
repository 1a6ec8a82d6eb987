import * as z from 'zod'
import { decodeRecordValue, encodeRecordValue } from '@figmount/fleet'

import { MAX_LIFETIME_MS } from './constants.js'

import type { NewRecord } from '@figmount/fleet'
import type { LoadLease, StoreLimit } from './types.js'

/** Key of the record that says how many loads the weight store carries. No lease has this key. */
export const LIMIT_KEY = 'limit'

const leaseSchema = z.object({
  modelName: z.string(),
  waitingCount: z.number().nonnegative(),
  takenUnixMs: z.number(),
  lifetimeMs: z.number().positive().max(MAX_LIFETIME_MS)
})

const limitSchema = z.object({
  fullSpeedCount: z.number().int().positive(),
  slowedAtUnixMs: z.number(),
  failedTrialCount: z.number().int().nonnegative(),
  changeCount: z.number().int().nonnegative().default(0)
})

/** Key of a lease. It is unique, so that a removal carried out late does not end a newer lease. */
export const leaseKeyOf = (instance: string, leaseId: string): string => `lease/${instance}/${leaseId}`

/** Encodes a lease as a record of the feed. */
export const encodeLease = (key: string, lease: LoadLease): NewRecord => ({ key, value: encodeRecordValue(lease) })

/** Encodes the limit as a record of the feed. */
export const encodeLimit = (limit: StoreLimit): NewRecord => ({ key: LIMIT_KEY, value: encodeRecordValue(limit) })

/** Decodes a lease; undefined for malformed bytes. */
export const decodeLease = (value: Uint8Array): LoadLease | undefined => decodeRecordValue(leaseSchema, value)

/** Decodes the limit; undefined for malformed bytes. */
export const decodeLimit = (value: Uint8Array): StoreLimit | undefined => decodeRecordValue(limitSchema, value)
