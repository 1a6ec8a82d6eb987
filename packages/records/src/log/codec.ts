import { Packr } from 'msgpackr'
import { Either, Left, Right } from 'purify-ts'

import { MAX_PAYLOAD_BYTES } from './constants.js'
import { recordSchema } from './recordSchema.js'

import type { FoldInput, LogRecord } from '../fold/types.js'
import type { RawRecord } from './types.js'

const packr = new Packr({ useRecords: false, moreTypes: false })

/** The payload under which a record is appended: msgpack of its fields. */
export const encodeRecord = (record: LogRecord): Uint8Array => packr.pack(record)

const readFields = (payload: Uint8Array): Either<string, LogRecord> => {
  const unpacked = Either.encase(() => packr.unpack(payload) as unknown)
  return unpacked.mapLeft(error => `not msgpack: ${error.message}`).chain(fields => {
    const result = recordSchema.safeParse(fields)
    if (result.success) return Right(result.data as unknown as LogRecord)
    const [issue] = result.error.issues
    return Left(`${issue?.path.map(String).join('.') ?? ''}: ${issue?.message ?? 'malformed'}`)
  })
}

/** Reads a payload; the Left says why it can't be read, which a kind from a newer build can't either. */
export const decodeRecord = (payload: Uint8Array): Either<string, LogRecord> =>
  payload.byteLength > MAX_PAYLOAD_BYTES
    ? Left(`longer than ${MAX_PAYLOAD_BYTES} bytes`)
    : readFields(payload)

/** What the fold takes for a raw record; an unreadable one still takes its place in the log. */
export const placeRecord = ({ offset, appendedAtMs, payload }: RawRecord): FoldInput =>
  decodeRecord(payload).caseOf<FoldInput>({
    Left: unreadable => ({ offset, appendedAtMs, unreadable }),
    Right: record => ({ offset, appendedAtMs, record })
  })
