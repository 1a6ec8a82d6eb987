import { CHUNK_BYTES } from './constants.js'
import { encodeState } from './stateCodec.js'

import type { AgreedState, LogRecord } from '../fold/types.js'

export type SnapshotChunk = Extract<LogRecord, { kind: 'snapshot.chunk' }>

/** A chunk before its writer's name is added. */
export type NewChunk = Omit<SnapshotChunk, 'recordId' | 'writer' | 'writerIncarnation'>

/** Cuts a state into chunks of at most CHUNK_BYTES; `snapshotId` must differ for each snapshot. */
export const splitSnapshot = (state: AgreedState, snapshotId: string): readonly NewChunk[] => {
  const bytes = encodeState(state)
  const count = Math.ceil(bytes.byteLength / CHUNK_BYTES)
  return Array.from({ length: count }, (_, index) => ({
    kind: 'snapshot.chunk',
    snapshotId,
    baseOffset: state.nextOffset,
    index,
    count,
    bytes: bytes.subarray(index * CHUNK_BYTES, (index + 1) * CHUNK_BYTES)
  }))
}
