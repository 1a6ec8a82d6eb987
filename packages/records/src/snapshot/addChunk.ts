import { MAX_INCOMPLETE_SNAPSHOTS } from './constants.js'
import { decodeState } from './stateCodec.js'

import type { LogOffset } from '@figmount/base'
import type { AgreedState } from '../fold/types.js'
import type { SnapshotChunk } from './splitSnapshot.js'

/** A snapshot some of whose chunks have been read. */
interface IncompleteSnapshot {
  readonly count: number
  readonly baseOffset: LogOffset
  readonly parts: ReadonlyMap<number, Uint8Array>
}

/** Incomplete snapshots by id, ordered by their first chunk. */
export type IncompleteSnapshots = ReadonlyMap<string, IncompleteSnapshot>

export const noIncompleteSnapshots: IncompleteSnapshots = new Map()

/** The result of adding one chunk. */
export interface AddChunkResult {
  readonly gathering: IncompleteSnapshots
  /** True if this chunk was the last missing one of its snapshot. */
  readonly isComplete: boolean
  /** The state of a complete snapshot, if it was wanted and could be decoded. */
  readonly state?: AgreedState
  /** Why a complete snapshot could not be used. */
  readonly mistake?: string
}

const EMPTY_BYTES = new Uint8Array()

const joinParts = (parts: ReadonlyMap<number, Uint8Array>, count: number): Uint8Array =>
  Buffer.concat(Array.from({ length: count }, (_, index) => parts.get(index) ?? EMPTY_BYTES))

const without = (snapshots: IncompleteSnapshots, snapshotId: string): IncompleteSnapshots => {
  const rest = new Map(snapshots)
  rest.delete(snapshotId)
  return rest
}

const dropOldestBeyondLimit = (snapshots: IncompleteSnapshots): IncompleteSnapshots => {
  const [oldest] = snapshots.keys()
  return snapshots.size > MAX_INCOMPLETE_SNAPSHOTS && oldest !== undefined ? without(snapshots, oldest) : snapshots
}

/**
 * Adds a chunk. Snapshots of several writers may be interleaved, and a writer may die before its last chunk,
 * so chunks are collected by snapshot id and the oldest incomplete snapshot is dropped when too many begin.
 * If the state is not wanted, only the chunks' indices are stored.
 */
export const addChunk = (snapshots: IncompleteSnapshots, chunk: SnapshotChunk, isWanted: boolean): AddChunkResult => {
  const known = snapshots.get(chunk.snapshotId)
  if (known && (known.count !== chunk.count || known.baseOffset !== chunk.baseOffset)) {
    return { gathering: snapshots, isComplete: false, mistake: 'chunks of one snapshot contradict each other' }
  }
  const parts = new Map(known?.parts).set(chunk.index, isWanted ? chunk.bytes : EMPTY_BYTES)
  if (parts.size < chunk.count) {
    const incomplete: IncompleteSnapshot = { count: chunk.count, baseOffset: chunk.baseOffset, parts }
    return { gathering: dropOldestBeyondLimit(new Map(snapshots).set(chunk.snapshotId, incomplete)), isComplete: false }
  }
  const rest = without(snapshots, chunk.snapshotId)
  if (!isWanted) return { gathering: rest, isComplete: true }
  return decodeState(joinParts(parts, chunk.count)).caseOf<AddChunkResult>({
    Left: mistake => ({ gathering: rest, isComplete: true, mistake }),
    Right: state => state.nextOffset === chunk.baseOffset
      ? { gathering: rest, isComplete: true, state }
      : { gathering: rest, isComplete: true, mistake: 'the state is not of the offset that its chunks name' }
  })
}
