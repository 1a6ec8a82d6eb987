import * as z from 'zod'
import { decodeRecordValue, encodeRecordValue } from '@figmount/fleet'

import { sortTimes } from './mergeLeft.js'

import type { FeedRecord, NewRecord } from '@figmount/fleet'
import type { LeftStart } from './types.js'

/** The first two fields are always there, so that no record of another writer counts as a leaving; routers of earlier versions write no others. */
const recordSchema = z.object({
  startedAtUnixMs: z.int().nullable(),
  lastHeartbeat: z.int().nullable(),
  earlierTimes: z.array(z.int()).default([])
})

/** Encodes a start that has left; the record's key is the server's id. */
export const encodeLeft = ({ serverId, startedAtUnixMs, lastHeartbeat, earlierTimes }: LeftStart): NewRecord => {
  const fields = { startedAtUnixMs: startedAtUnixMs ?? null, lastHeartbeat: lastHeartbeat ?? null }
  return { key: serverId, value: encodeRecordValue(earlierTimes.length === 0 ? fields : { ...fields, earlierTimes }) }
}

/** Decodes a record; undefined for one that another writer left. */
export const decodeLeft = ({ key, value }: FeedRecord): LeftStart | undefined => {
  const fields = value && decodeRecordValue(recordSchema, value)
  return fields && {
    serverId: key,
    startedAtUnixMs: fields.startedAtUnixMs ?? undefined,
    lastHeartbeat: fields.lastHeartbeat ?? undefined,
    earlierTimes: sortTimes(fields.earlierTimes)
  }
}
