import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { Packr } from 'msgpackr'
import { Either, Left, Right } from 'purify-ts'

import { MAX_BODY_BYTES, MAX_PAYLOAD_BYTES } from './constants.js'
import { recordSchema } from './recordSchema.js'

import type { FoldInput, LogRecord } from '../fold/types.js'
import type { RawRecord } from './types.js'

const packr = new Packr({ useRecords: false, moreTypes: false })

/** Bodies from this length on are deflated; for shorter ones the saving is less than a packet's headers. */
const MIN_DEFLATE_LENGTH = 512

/** A `config.set` record whose body is deflated for the log. */
interface DeflatedBody {
  readonly bodyDeflated: Uint8Array
}

// A change carries the whole body of its service to every process, and JSON of many similar models
// deflates to a tenth.
const deflateBody = (record: LogRecord): LogRecord | DeflatedBody => {
  if (record.kind !== 'config.set' || record.bodyJson.length < MIN_DEFLATE_LENGTH) return record
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

/** Encodes a record as the payload to append: msgpack of its fields, with long bodies deflated. */
export const encodeRecord = (record: LogRecord): Uint8Array => packr.pack(deflateBody(record))

const decodeFields = (payload: Uint8Array): Either<string, LogRecord> => {
  const unpacked = Either.encase(() => inflateBody(packr.unpack(payload) as unknown))
  return unpacked.mapLeft(error => `malformed: ${error.message}`).chain(fields => {
    const result = recordSchema.safeParse(fields)
    if (result.success) return Right(result.data as unknown as LogRecord)
    const [issue] = result.error.issues
    return Left(`${issue?.path.map(String).join('.') ?? ''}: ${issue?.message ?? 'malformed'}`)
  })
}

/** Decodes a payload; the Left gives the reason if it is malformed or its kind comes from a newer build. */
export const decodeRecord = (payload: Uint8Array): Either<string, LogRecord> =>
  payload.byteLength > MAX_PAYLOAD_BYTES
    ? Left(`longer than ${MAX_PAYLOAD_BYTES} bytes`)
    : decodeFields(payload)

/** Decodes a raw record for the fold; a record that can't be decoded still occupies its offset. */
export const decodeRawRecord = ({ offset, appendedAtMs, payload }: RawRecord): FoldInput =>
  decodeRecord(payload).caseOf<FoldInput>({
    Left: unreadable => ({ offset, appendedAtMs, unreadable }),
    Right: record => ({ offset, appendedAtMs, record })
  })
