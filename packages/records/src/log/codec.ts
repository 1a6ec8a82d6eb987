import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { Packr } from 'msgpackr'
import { Either, Left, Right } from 'purify-ts'

import { MAX_BODY_BYTES, MAX_PAYLOAD_BYTES } from './constants.js'
import { recordSchema } from './recordSchema.js'

import type { FoldInput, LogRecord } from '../fold/types.js'
import type { RawRecord } from './types.js'

const packr = new Packr({ useRecords: false, moreTypes: false })

/** Bodies above this length are deflated. Grounds: below it the gain is less than a packet's headers. */
const DEFLATE_FROM_LENGTH = 512

/** A `config.set` whose body travels deflated. */
interface DeflatedBody {
  readonly bodyDeflated: Uint8Array
}

// A change carries the whole body of its service to every process; JSON of many like models
// shrinks to a tenth.
const deflateBody = (record: LogRecord): LogRecord | DeflatedBody => {
  if (record.kind !== 'config.set' || record.bodyJson.length < DEFLATE_FROM_LENGTH) return record
  const { bodyJson, ...rest } = record
  return { ...rest, bodyDeflated: deflateRawSync(bodyJson) }
}

const isDeflated = (fields: unknown): fields is DeflatedBody =>
  typeof fields === 'object' && fields !== null && 'bodyDeflated' in fields && fields.bodyDeflated instanceof Uint8Array

const inflateBody = (fields: unknown): unknown => {
  if (!isDeflated(fields)) return fields
  const { bodyDeflated, ...rest } = fields
  return { ...rest, bodyJson: inflateRawSync(bodyDeflated, { maxOutputLength: MAX_BODY_BYTES }).toString('utf8') }
}

/** The payload under which a record is appended: msgpack of its fields, long bodies deflated. */
export const encodeRecord = (record: LogRecord): Uint8Array => packr.pack(deflateBody(record))

const readFields = (payload: Uint8Array): Either<string, LogRecord> => {
  const unpacked = Either.encase(() => inflateBody(packr.unpack(payload) as unknown))
  return unpacked.mapLeft(error => `malformed: ${error.message}`).chain(fields => {
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
