import { MAX_CHUNK_BYTES } from './constants.js'
import { encodeState } from './stateCodec.js'

import type { AgreedState, LogRecord } from '../fold/types.js'

export type SnapshotChunk = Extract<LogRecord, { kind: 'snapshot.chunk' }>

/** A chunk before the client adds its record id and writer. */
export type NewChunk = Omit<SnapshotChunk, 'recordId' | 'writer' | 'writerIncarnation'>

/** Splits a state into chunks of at most MAX_CHUNK_BYTES; `snapshotId` must be unique to the snapshot. */
export const splitSnapshot = (state: AgreedState, snapshotId: string): readonly NewChunk[] => {
  const bytes = encodeState(state)
  const count = Math.ceil(bytes.byteLength / MAX_CHUNK_BYTES)
  return Array.from({ length: count }, (_, index) => ({
    kind: 'snapshot.chunk',
    snapshotId,
    baseOffset: state.nextOffset,
    index,
    count,
    bytes: bytes.subarray(index * MAX_CHUNK_BYTES, (index + 1) * MAX_CHUNK_BYTES)
  }))
}
