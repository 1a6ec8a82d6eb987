import { Packr } from 'msgpackr'
import { Either } from 'purify-ts'

import type { ZodType } from 'zod'

const packr = new Packr({ useRecords: false })

/** Encodes the value of a record that figmount writes to a feed. */
export const encodeRecordValue = (fields: object): Uint8Array => packr.pack(fields)

/** Decodes the value of such a record; undefined for one that another writer left. */
export const decodeRecordValue = <T>(schema: ZodType<T>, value: Uint8Array): T | undefined =>
  Either.encase(() => packr.unpack(value) as unknown).map(fields => schema.safeParse(fields).data).orDefault(undefined)
