import * as z from 'zod'
import { decodeRecordValue, encodeRecordValue } from '@figmount/fleet'

import type { FeedRecord, NewRecord } from '@figmount/fleet'
import type { LeftStart } from './types.js'

/** Both fields are always there, so that no record of another writer counts as a leaving. */
const recordSchema = z.object({ startedAtUnixMs: z.int().nullable(), lastHeartbeat: z.int().nullable() })

/** Encodes a start that has left; the record's key is the server's id. */
export const encodeLeft = ({ serverId, startedAtUnixMs, lastHeartbeat }: LeftStart): NewRecord =>
  ({ key: serverId, value: encodeRecordValue({ startedAtUnixMs: startedAtUnixMs ?? null, lastHeartbeat: lastHeartbeat ?? null }) })

/** Decodes a record; undefined for one that another writer left. */
export const decodeLeft = ({ key, value }: FeedRecord): LeftStart | undefined => {
  const fields = value && decodeRecordValue(recordSchema, value)
  return fields && { serverId: key, startedAtUnixMs: fields.startedAtUnixMs ?? undefined, lastHeartbeat: fields.lastHeartbeat ?? undefined }
}
